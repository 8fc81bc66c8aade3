package appleridge.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A platform that holds the listening socket and starts processes that have it as descriptor 0. The
 * JVM can't hand a socket to a process that it starts, so a few lines of Perl, which every Debian
 * has, do it.
 */
final class HoldingPlatform implements AutoCloseable {
    private static final String PERL =
            """
            use Socket; $| = 1;
            socket(my $s, PF_INET, $ARGV[0], 0) or die; bind($s, sockaddr_in(0, \
            INADDR_LOOPBACK)) or die;
            if ($ARGV[1]) { listen($s, 1024) or die; }
            my ($port) = sockaddr_in(getsockname($s)); print "$port\\n"; my %ours;
            while (my $line = <STDIN>) {
                chomp $line; my ($what, $first, @command) = split /\\t/, $line;
                if ($what eq 'start') {
                    my $pid = fork();
                    if (!$pid) {
                        open(STDIN, '<&', $s) or die; open(STDOUT, '>>', $first) or die;
                        open(STDERR, '>>&', \\*STDOUT) or die; exec @command; exit 127;
                    }
                    $ours{$pid} = 1; print "$pid\\n";
                } else {
                    waitpid($first, 0); delete $ours{$first}; print(($? & 127) + ($? >> \
                    8), "\\n");
                }
            }
            kill 'KILL', keys %ours;
            """;

    private final Path folder;
    private final Process holder;
    private final Writer orders;
    private final BufferedReader answers;
    private final int port;

    /** With Perl's number of the socket's type; and whether it listens. */
    HoldingPlatform(Path folder, int type, boolean listens) throws IOException {
        this.folder = folder;
        this.holder =
                new ProcessBuilder("perl", "-e", PERL, Integer.toString(type), listens ? "1" : "")
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        this.orders = holder.outputWriter();
        this.answers = holder.inputReader();
        this.port = Integer.parseInt(answers.readLine());
    }

    HoldingPlatform(Path folder) throws IOException {
        this(folder, 1, true);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private String order(String... words) throws IOException {
        orders.write(String.join("\t", words) + "\n");
        orders.flush();
        return answers.readLine();
    }

    /** A sidecar that was started. */
    final class Sidecar {
        private final Path log;
        private final long pid;

        private Sidecar(Path log, long pid) {
            this.log = log;
            this.pid = pid;
        }

        String log() throws IOException {
            return Files.readString(log);
        }

        /** Waits until it has logged something. */
        void awaitLog(String text) throws IOException, InterruptedException {
            long until =
                    System.nanoTime()
                            + TimeUnit.SECONDS.toNanos(2 * LoopbackSidecar.TIMEOUT_SECONDS);
            while (!log().contains(text)) {
                if (System.nanoTime() > until) {
                    throw new AssertionError("never logged: " + text + "\n" + log());
                }
                Thread.sleep(10);
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
        }

        /** Waits for its end; the status, or the number of the signal that ended it. */
        int end() throws IOException {
            return Integer.parseInt(order("wait", Long.toString(pid)));
        }
    }

    /** The folder of the state files of all processes. */
    Path sharedFolder() {
        return folder.resolve("appleridge-n0");
    }

    /** Starts one with a configuration; the listening socket's descriptor is passed as given. */
    Sidecar start(String config, String descriptor) throws IOException {
        Path file = Files.createTempFile(folder, "config", ".json");
        Path log = Files.createTempFile(folder, "sidecar", ".log");
        Files.writeString(file, config.replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\""));
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "start",
                                log.toString(),
                                "env",
                                "BALANCER_CONFIG=" + file,
                                "BALANCER_LISTEN_FD=" + descriptor,
                                "TMPDIR=" + folder,
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx48m",
                                "-jar",
                                "target/appleridge.jar",
                                "serve"));
        return new Sidecar(log, Long.parseLong(order(command.toArray(String[]::new))));
    }

    @Override
    public void close() throws IOException {
        orders.close();
        try {
            holder.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        holder.destroyForcibly();
    }
}
