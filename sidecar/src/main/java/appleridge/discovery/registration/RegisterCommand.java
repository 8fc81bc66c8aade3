package appleridge.discovery.registration;

import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.transport.SystemTime;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * {@code java -jar appleridge.jar register … -- COMMAND}: starts the command as its child,
 * registers it once it answers, and ends with its status. On SIGTERM the node says so first; the
 * child is told a while later.
 */
public final class RegisterCommand {
    /** Exit status where the arguments are not allowed. */
    public static final int EXIT_USAGE = 2;

    /** As shells have it for a command that can't be started. */
    private static final int EXIT_COMMAND_NOT_FOUND = 127;

    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int RESPONSE_TIMEOUT_MILLIS = 1000;
    private static final long HEALTH_CHECK_MILLIS = 100;

    /** How long the session's end is waited for; later the node ends with the session time-out. */
    private static final long SESSION_CLOSE_MILLIS = 4000;

    private static final System.Logger LOG = System.getLogger("appleridge");

    private final RegisterArguments server;
    private final ZooKeeperSettings settings;
    private final CountDownLatch ending = new CountDownLatch(1);
    private final CountDownLatch drained = new CountDownLatch(1);
    private Process child;
    private long startedMillis;
    private NodeRegistration registration;

    private RegisterCommand(RegisterArguments server, ZooKeeperSettings settings) {
        this.server = server;
        this.settings = settings;
    }

    /**
     * Runs the command; its exit status.
     *
     * @param words what follows the command's name
     * @param read reads where to register from the operator's file; throws what is wrong with it
     */
    public static int run(List<String> words, Function<Path, ZooKeeperSettings> read) {
        try {
            RegisterArguments arguments = RegisterArguments.parse(words);
            ZooKeeperSettings settings = read.apply(arguments.operator());
            if (settings.shards() != (arguments.shard() != null)) {
                throw new IllegalArgumentException(
                        settings.shards()
                                ? "--shard is missing"
                                : "--shard makes no sense without membership.shards");
            }
            return new RegisterCommand(arguments, settings).run();
        } catch (IllegalArgumentException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.err.println(RegisterArguments.USAGE);
            return EXIT_USAGE;
        }
    }

    private int run() {
        try {
            child = new ProcessBuilder(server.command()).inheritIO().start();
        } catch (IOException e) {
            System.err.println(
                    "appleridge: can't start " + server.command().get(0) + ": " + e.getMessage());
            return EXIT_COMMAND_NOT_FOUND;
        }
        startedMillis = SystemTime.UNIX_MILLIS.getAsLong();
        registration =
                new NodeRegistration(
                        settings,
                        server.shard() == null ? server.id() : server.shard() + "/" + server.id(),
                        nodeData(false),
                        startedMillis,
                        line -> LOG.log(System.Logger.Level.INFO, line));
        Runtime.getRuntime().addShutdownHook(new Thread(this::terminate, "terminate"));
        try {
            boolean registered = awaitHealthy();
            if (registered) {
                registration.start();
            }
            int status = child.waitFor();
            if (registered) {
                registration.close();
            }
            drained.countDown();
            if (ending.getCount() == 0) {
                // The JVM is shutting down, and only the hook can still set its exit status.
                new CountDownLatch(1).await();
            }
            return status;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private byte[] nodeData(boolean terminating) {
        return NodeJsonWriter.write(server, terminating, startedMillis);
    }

    /** On SIGTERM, and at any other end of this process. */
    private void terminate() {
        ending.countDown();
        try {
            if (child.isAlive()) {
                LOG.log(System.Logger.Level.INFO, "registration: ending " + server.id());
                registration.setData(nodeData(true));
                if (child.waitFor(server.drainMillis(), TimeUnit.MILLISECONDS)) {
                    LOG.log(System.Logger.Level.INFO, "registration: it ended by itself");
                }
                child.destroy();
            }
            int status = child.waitFor();
            drained.await(SESSION_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
            Runtime.getRuntime().halt(status);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether it answers; not if it ended before it did, or is to end. */
    private boolean awaitHealthy() throws InterruptedException {
        while (child.isAlive() && ending.getCount() > 0) {
            if (isHealthy(server.address(), server.check())) {
                return true;
            }
            child.waitFor(HEALTH_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return false;
    }

    static boolean isHealthy(InetSocketAddress address, String check) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            if (check == null) {
                return true;
            }
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(
                            ("GET "
                                            + check
                                            + " HTTP/1.1\r\nHost: "
                                            + address.getAddress().getHostAddress()
                                            + "\r\nConnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            return isSuccess(socket.getInputStream());
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean isSuccess(InputStream in) throws IOException {
        return new String(in.readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII)
                .matches("HTTP/1\\.[01] 2\\d\\d");
    }
}
