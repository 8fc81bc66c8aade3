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
 * Stand-in for a platform with socket activation: owns the listening socket and starts sidecars
 * that inherit it as descriptor 0. A JVM can't pass a socket to a child process, so a Perl script
 * does; every Debian system has Perl.
 */
final class SocketActivator implements AutoCloseable {
    private static final String PERL =
            """
            use Socket; $| = 1;
            socket(my $s, PF_INET, $ARGV[0], 0) or die; bind($s, sockaddr_in(0, \
            INADDR_LOOPBACK)) or die;
            if ($ARGV[1]) { listen($s, 1024) or die; }
            my ($port) = sockaddr_in(getsockname($s)); print "$port\\n"; my %children;
            while (my $line = <STDIN>) {
                chomp $line; my ($what, $first, @command) = split /\\t/, $line;
                if ($what eq 'start') {
                    my $pid = fork();
                    if (!$pid) {
                        open(STDIN, '<&', $s) or die; open(STDOUT, '>>', $first) or die;
                        open(STDERR, '>>&', \\*STDOUT) or die; exec @command; exit 127;
                    }
                    $children{$pid} = 1; print "$pid\\n";
                } else {
                    waitpid($first, 0); delete $children{$first}; print(($? & 127) + ($? >> \
                    8), "\\n");
                }
            }
            kill 'KILL', keys %children;
            """;

    private final Path folder;
    private final Process perl;
    private final Writer commands;
    private final BufferedReader replies;
    private final int port;

    /**
     * Creates the socket, bound to a free loopback port.
     *
     * @param type the socket type as Perl numbers it: 1 for a stream, 2 for datagrams
     * @param listens whether the socket listens
     */
    SocketActivator(Path folder, int type, boolean listens) throws IOException {
        this.folder = folder;
        this.perl =
                new ProcessBuilder("perl", "-e", PERL, Integer.toString(type), listens ? "1" : "")
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        this.commands = perl.outputWriter();
        this.replies = perl.inputReader();
        this.port = Integer.parseInt(replies.readLine());
    }

    SocketActivator(Path folder) throws IOException {
        this(folder, 1, true);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private String execute(String... command) throws IOException {
        commands.write(String.join("\t", command) + "\n");
        commands.flush();
        return replies.readLine();
    }

    /** A sidecar process. */
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

        /** Waits until the log contains a text. */
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

        /** Waits for the process to exit; returns its status or the number of the signal. */
        int awaitExit() throws IOException {
            return Integer.parseInt(execute("wait", Long.toString(pid)));
        }
    }

    /** Returns the folder with the state files of all processes of the sidecar. */
    Path stateFolder() {
        return folder.resolve("appleridge-n0");
    }

    /** Starts a sidecar; the descriptor becomes its BALANCER_LISTEN_FD as given. */
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
        return new Sidecar(log, Long.parseLong(execute(command.toArray(String[]::new))));
    }

    @Override
    public void close() throws IOException {
        commands.close();
        try {
            perl.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        perl.destroyForcibly();
    }
}
