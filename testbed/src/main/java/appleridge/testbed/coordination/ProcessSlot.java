package appleridge.testbed.coordination;

import appleridge.testbed.standin.ColdStart;
import appleridge.testbed.standin.LoopbackServer;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.KeeperException;

/**
 * One place for an order server: the process that stands there now, and its session with the
 * coordination service. Blocks; used by one thread at a time.
 */
final class ProcessSlot implements AutoCloseable {
    /** Within so long a node is made, whatever the coordination server does meanwhile. */
    private static final int MAX_TRIES = 200;

    private static final int RETRY_PAUSE_MILLIS = 100;
    private static final int QUEUE_LIMIT = 96;
    private static final long LONG_AGO = TimeUnit.HOURS.toMillis(1);

    private final CoordinatedSite site;
    private final String name;
    private final String zone;
    private int processCount;
    private LoopbackServer server;
    private NodeWriter writer;
    private ServerNode node;

    ProcessSlot(CoordinatedSite site, String name, String zone) {
        this.site = site;
        this.name = name;
        this.zone = zone;
    }

    String name() {
        return name;
    }

    String address() {
        return server.endpoint();
    }

    ServerNode node() {
        return node;
    }

    /** A process starts, at an address of its own or at the last one's. */
    void startProcess(boolean cold, boolean sameAddress)
            throws InterruptedException, ExecutionException {
        int port = sameAddress ? server.port() : 0;
        LoopbackServer next =
                site.onLoop(
                        () ->
                                new LoopbackServer(
                                        site.loop,
                                        site.time,
                                        new LoopbackServer.Identity(
                                                name + "#" + ++processCount,
                                                zone,
                                                ColdStart.Figures.USUAL,
                                                QUEUE_LIMIT,
                                                cold),
                                        site.memory,
                                        site.random.split(),
                                        site.traffic));
        CountDownLatch listens = new CountDownLatch(1);
        site.onLoop(
                () -> {
                    next.listen(port, listens::countDown);
                    return null;
                });
        listens.await();
        server = next;
        site.addServer(next);
        // 0 would say that it began with its node.
        node =
                new ServerNode(
                        next.endpoint(),
                        zone,
                        true,
                        cold
                                ? next.bootMillis()
                                : site.time.unixMillis(site.time.nanos()) - LONG_AGO);
    }

    /** The process ends; its session goes on. */
    void crash() throws InterruptedException, ExecutionException {
        crash(server);
    }

    void crash(LoopbackServer which) throws InterruptedException, ExecutionException {
        site.onLoop(
                () -> {
                    which.crash();
                    return null;
                });
    }

    LoopbackServer server() {
        return server;
    }

    /** Its node is there from now on, as its own. */
    void register() throws IOException, InterruptedException {
        write(() -> writer.create(node));
    }

    /** The node says something else from now on. */
    void change(ServerNode next) throws IOException, InterruptedException {
        write(() -> writer.change(next));
    }

    /** The node holds something that nobody can read. */
    void garble() throws IOException, InterruptedException {
        write(() -> writer.garble());
    }

    private interface NodeWrite {
        void run() throws KeeperException, InterruptedException;
    }

    private void write(NodeWrite what) throws IOException, InterruptedException {
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                if (writer == null) {
                    writer =
                            new NodeWriter(
                                    site.coordination.address(),
                                    CoordinatedSite.ROOT + "/" + name,
                                    site.sessionMillis());
                    writer.create(node);
                }
                what.run();
                return;
            } catch (KeeperException | IOException e) {
                // A session that is lost or a server that is away: with another session, once it
                // answers.
                closeWriter();
                TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS);
            }
        }
        throw new IOException(name + " can't register");
    }

    /** The session ends, as if its time were over. */
    void expire() {
        if (writer != null) {
            site.coordination.expire(writer.session());
            closeWriter();
        }
    }

    /** One that was left alone ends. */
    void expire(NodeWriter abandoned) {
        site.coordination.expire(abandoned.session());
    }

    /** The session ends in order. */
    void leave() {
        closeWriter();
    }

    /** The session is left alone, to end when the caller says so. */
    NodeWriter abandon() {
        NodeWriter left = writer;
        writer = null;
        return left;
    }

    private void closeWriter() {
        if (writer != null) {
            writer.close();
            writer = null;
        }
    }

    @Override
    public void close() {
        closeWriter();
        if (server != null) {
            site.loop.execute(server::crash);
        }
    }
}
