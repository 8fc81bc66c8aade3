package appleridge.testbed.lease;

import appleridge.testbed.coordination.CoordinationServer;
import appleridge.testbed.coordination.NodeWriter;
import appleridge.testbed.coordination.Relay;
import appleridge.testbed.standin.RealTime;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.zookeeper.KeeperException;

/**
 * Some {@code task} processes that seek one lease on a stand-in, each through a relay of its own,
 * and the witness that their commands act on. Closed, nothing of it is left.
 */
final class TaskFleet implements AutoCloseable {
    /** What the command does beside acting all the time. */
    enum Manner {
        /** Ends on SIGTERM; with status 0 on SIGUSR1. */
        PLAIN,
        /** Ignores SIGTERM. */
        STUBBORN,
        /** Acts in a session of its own, without a parent, and ignores SIGTERM. */
        APART
    }

    /** The shortest term that the other times below allow. */
    static final int SHORT_MILLIS = 2000;

    /** Of a term, the longest time without a holder after one has died: by check-config. */
    static long promisedMillis(int termMillis) {
        return (termMillis + 1500) * 101L / 100 + 200;
    }

    private static final String TIMES =
            "renew-every = \"400ms\"\nguard = \"200ms\"\nkill-after = \"300ms\"\n"
                    + "longest-act = \"1s\"\nlongest-pause = \"500ms\"\nsession-timeout = \"2s\"\n";
    private static final String ACTS =
            """
            use IO::Socket::INET; use POSIX;
            my ($port, $manner, $number) = @ARGV;
            # Not of the block: Perl would close them at its end, and the command be \
            over while it acts.
            my ($over, $acting);
            if ($manner eq 'APART') {
                pipe($over, $acting);
                if (fork) { close $acting; <$over>; exit 0; }
                POSIX::setsid(); exit 0 if fork;
            }
            $SIG{TERM} = 'IGNORE' if $manner ne 'PLAIN';
            $SIG{USR1} = sub { exit 0 };
            my $to = IO::Socket::INET->new(PeerAddr => "127.0.0.1:$port", Proto => \
            'udp') or die;
            while (1) {
                $to->send("$ENV{APPLERIDGE_TOKEN} $$ $ENV{APPLERIDGE_LEASE} $number");
                select(undef, undef, undef, 0.01);
            }
            """;
    private static final String ROOT = "/appleridge/leases";
    private static final int SESSION_MILLIS = 10_000;
    private static final int GONE_TRIES = 1000;

    final CoordinationServer server;
    final OperationWitness witness;
    final List<TaskProcess> tasks = new ArrayList<>();
    final List<Relay> relays = new ArrayList<>();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("relays", true), NioIoHandler.newFactory());
    private final Path folder;
    private final String lease;
    private final int termMillis;
    private final Thread atExit = new Thread(this::kill, "fleet's end");

    TaskFleet(Path jar, int size, int termMillis, Manner... manners)
            throws IOException, InterruptedException, KeeperException {
        this.termMillis = termMillis;
        Runtime.getRuntime().addShutdownHook(atExit);
        folder = Files.createTempDirectory("leases");
        lease = folder.getFileName().toString();
        server = CoordinationServer.standalone(new CoordinationServer.Times(50, 2000, 60_000));
        witness = new OperationWitness();
        ground();
        Path script = Files.writeString(folder.resolve("acts.pl"), ACTS);
        for (int i = 0; i < size; i++) {
            Relay relay =
                    new Relay(group.next(), new RealTime(), server.address(), (what, at) -> {});
            relay.listen();
            relays.add(relay);
            Path operator =
                    Files.writeString(
                            folder.resolve("operator" + i + ".toml"),
                            "version = 1\n[leases]\nservers = [\"127.0.0.1:"
                                    + relay.address().getPort()
                                    + "\"]\nroot = \""
                                    + ROOT
                                    + "\"\nterm = \""
                                    + termMillis
                                    + "ms\"\n"
                                    + TIMES);
            tasks.add(
                    new TaskProcess(
                            jar,
                            operator,
                            lease,
                            List.of(
                                    "perl",
                                    script.toString(),
                                    Integer.toString(witness.port()),
                                    manners[i % manners.length].name(),
                                    Integer.toString(i)),
                            folder.resolve("task" + i + ".log")));
        }
    }

    private void ground() throws IOException, InterruptedException, KeeperException {
        NodeWriter writer = new NodeWriter(server.address(), ROOT, SESSION_MILLIS);
        writer.createPersistent();
        writer.close();
    }

    /** The store starts again and knows nothing but the path of all leases. */
    void wipe() throws IOException, InterruptedException, KeeperException {
        server.stop();
        server.wipe();
        server.start();
        ground();
    }

    int termMillis() {
        return termMillis;
    }

    /** Nothing passes between a task and the store, or all of it again. */
    void cut(int which, boolean cut) throws InterruptedException {
        onLoop(() -> relays.get(which).mode(cut ? Relay.Mode.SILENT : Relay.Mode.OPEN));
    }

    void onLoop(Runnable what) throws InterruptedException {
        group.next().submit(what).sync();
    }

    /** Tasks end, and with them all that they have started; whether all has gone. */
    boolean end() throws IOException, InterruptedException {
        kill();
        for (int i = 0; i < GONE_TRIES && OperationWitness.anyOf(lease); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return !OperationWitness.anyOf(lease);
    }

    /** A process that is stopped dies of it as well. */
    private void kill() {
        tasks.forEach(TaskProcess::kill);
    }

    @Override
    public void close() throws IOException {
        try {
            end();
            for (Relay relay : relays) {
                onLoop(relay::close);
            }
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            // The process is ending already, and the hook does the same.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        witness.close();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
