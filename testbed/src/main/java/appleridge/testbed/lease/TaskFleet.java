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
 * Several {@code task} processes that compete for one lease in a coordination stand-in, each
 * through its own relay, and the witness to which their commands send. {@link #close} ends all
 * processes and deletes all files.
 */
final class TaskFleet implements AutoCloseable {

    /** How a command behaves besides operating continually. */
    enum CommandBehavior {

        /** Ends on SIGTERM, and with status 0 on SIGUSR1. */
        PLAIN,
        /** Ignores SIGTERM. */
        STUBBORN,
        /** Operates as an orphan in its own session, and ignores SIGTERM. */
        APART
    }

    /** The shortest term that is valid with the other durations below. */
    static final int SHORT_TERM_MILLIS = 2000;

    /**
     * The longest time without a holder after one has died, as {@code check-config} computes it.
     */
    static long promisedGapMillis(int termMillis) {
        return (termMillis + 1500) * 101L / 100 + 200;
    }

    private static final String DURATION_SETTINGS =
            "renew-every = \"400ms\"\nguard = \"200ms\"\nkill-after = \"300ms\"\n"
                    + "longest-act = \"1s\"\nlongest-pause = \"500ms\"\nsession-timeout = \"2s\"\n";
    private static final String COMMAND_SCRIPT =
            """
            use IO::Socket::INET; use POSIX;
            my ($port, $manner, $number) = @ARGV;
            # Declared outside the block: Perl would close them at its end, and the \
            command would exit while it still operates.
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
    private static final int EXIT_POLLS = 1000;

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

    TaskFleet(Path jar, int size, int termMillis, CommandBehavior... behaviors)
            throws IOException, InterruptedException, KeeperException {
        this.termMillis = termMillis;
        Runtime.getRuntime().addShutdownHook(atExit);
        folder = Files.createTempDirectory("leases");
        lease = folder.getFileName().toString();
        server = CoordinationServer.standalone(new CoordinationServer.Times(50, 2000, 60_000));
        witness = new OperationWitness();
        createRoot();
        Path script = Files.writeString(folder.resolve("acts.pl"), COMMAND_SCRIPT);
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
                                    + DURATION_SETTINGS);
            tasks.add(
                    new TaskProcess(
                            jar,
                            operator,
                            lease,
                            List.of(
                                    "perl",
                                    script.toString(),
                                    Integer.toString(witness.port()),
                                    behaviors[i % behaviors.length].name(),
                                    Integer.toString(i)),
                            folder.resolve("task" + i + ".log")));
        }
    }

    private void createRoot() throws IOException, InterruptedException, KeeperException {
        NodeWriter writer = new NodeWriter(server.address(), ROOT, SESSION_MILLIS);
        writer.createPersistent();
        writer.close();
    }

    /** Restarts the store with no data except the root path of the leases. */
    void wipe() throws IOException, InterruptedException, KeeperException {
        server.stop();
        server.wipe();
        server.start();
        createRoot();
    }

    int termMillis() {
        return termMillis;
    }

    /** Blocks or restores the traffic between a task and the store. */
    void setCutOff(int task, boolean cutOff) throws InterruptedException {
        onLoop(() -> relays.get(task).mode(cutOff ? Relay.Mode.SILENT : Relay.Mode.OPEN));
    }

    void onLoop(Runnable action) throws InterruptedException {
        group.next().submit(action).sync();
    }

    /** Kills all tasks; returns whether every process that they started has ended in time. */
    boolean killAll() throws IOException, InterruptedException {
        kill();
        for (int i = 0; i < EXIT_POLLS && OperationWitness.existsProcessOf(lease); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return !OperationWitness.existsProcessOf(lease);
    }

    /** SIGKILL, which also ends stopped processes. */
    private void kill() {
        tasks.forEach(TaskProcess::kill);
    }

    @Override
    public void close() throws IOException {
        try {
            killAll();
            for (Relay relay : relays) {
                onLoop(relay::close);
            }
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {

            // The JVM is shutting down, and the shutdown hook kills the processes.
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
