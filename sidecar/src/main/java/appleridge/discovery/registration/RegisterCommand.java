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
 * {@code java -jar appleridge.jar register … -- COMMAND}: starts a server as a child process,
 * registers it once it is healthy, and exits with its status. On SIGTERM the node is marked as
 * terminating first, so that sidecars stop sending requests; the child gets its signal once the
 * drain time is over.
 */
public final class RegisterCommand {
    /** Exit status if the arguments are not valid. */
    public static final int EXIT_USAGE = 2;

    /** The exit status by which shells report a command that can't be started. */
    private static final int EXIT_COMMAND_NOT_FOUND = 127;

    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int RESPONSE_TIMEOUT_MILLIS = 1000;
    private static final long HEALTH_CHECK_MILLIS = 100;

    /** Wait for the session's close; after that the node ends with the session time-out. */
    private static final long SESSION_CLOSE_MILLIS = 4000;

    private static final System.Logger LOG = System.getLogger("appleridge");

    private final RegisterArguments server;
    private final ZooKeeperSettings settings;
    private final CountDownLatch terminationRequested = new CountDownLatch(1);
    private final CountDownLatch sessionClosed = new CountDownLatch(1);
    private Process child;
    private long startedMillis;
    private NodeRegistration registration;

    private RegisterCommand(RegisterArguments server, ZooKeeperSettings settings) {
        this.server = server;
        this.settings = settings;
    }

    /**
     * Runs the command and returns its exit status.
     *
     * @param words the arguments of {@code register}
     * @param read reads the ZooKeeper settings from the operator's file; throws an {@link
     *     IllegalArgumentException} if they are not valid
     */
    public static int run(List<String> words, Function<Path, ZooKeeperSettings> read) {
        try {
            RegisterArguments arguments = RegisterArguments.parse(words);
            ZooKeeperSettings settings = read.apply(arguments.operator());
            if (settings.shards() != (arguments.shard() != null)) {
                throw new IllegalArgumentException(
                        settings.shards()
                                ? "--shard is missing"
                                : "--shard is not allowed without membership.shards");
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
            sessionClosed.countDown();
            if (terminationRequested.getCount() == 0) {
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

    /** Runs as the shutdown hook: on SIGTERM, and at any other end of this process. */
    private void terminate() {
        terminationRequested.countDown();
        try {
            if (child.isAlive()) {
                LOG.log(System.Logger.Level.INFO, "registration: draining " + server.id());
                registration.setData(nodeData(true));
                if (child.waitFor(server.drainMillis(), TimeUnit.MILLISECONDS)) {
                    LOG.log(
                            System.Logger.Level.INFO,
                            "registration: " + server.id() + " ended before its drain was over");
                }
                child.destroy();
            }
            int status = child.waitFor();
            sessionClosed.await(SESSION_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
            Runtime.getRuntime().halt(status);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the server is healthy; false if it ends, or is to end, before. */
    private boolean awaitHealthy() throws InterruptedException {
        while (child.isAlive() && terminationRequested.getCount() > 0) {
            if (isHealthy(server.address(), server.check())) {
                return true;
            }
            child.waitFor(HEALTH_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return false;
    }

    /** Whether the address accepts a connection and, with a path, answers it with a 2xx status. */
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
