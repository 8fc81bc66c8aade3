package appleridge.testbed.coordination;

import appleridge.testbed.standin.ColdStart;
import appleridge.testbed.standin.LoopbackServer;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.KeeperException;

/**
 * A slot for an order server: the process that currently runs in it and its session with the
 * coordination service. Methods block; used by one thread at a time.
 */
final class ProcessSlot implements AutoCloseable {
    /** Tries before a write fails; spans every outage of the coordination server. */
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

    /** Starts a process, at a new address or at the previous process's address. */
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
        // With a start time of 0 the process would count as started when its node was created.
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

    /** Creates the node of the current process. */
    void register() throws IOException, InterruptedException {
        write(() -> writer.create(node));
    }

    /** Replaces the node's data. */
    void change(ServerNode next) throws IOException, InterruptedException {
        write(() -> writer.change(next));
    }

    /** Replaces the node's data by invalid JSON. */
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
                // The session is lost or the server is down: retries with a new session.
                closeWriter();
                TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS);
            }
        }
        throw new IOException(name + " cannot write its node: " + MAX_TRIES + " tries failed");
    }

    /** Expires the session on the server. */
    void expire() {
        if (writer != null) {
            site.coordination.expire(writer.session());
            closeWriter();
        }
    }

    /** Expires an abandoned session on the server. */
    void expire(NodeWriter abandoned) {
        site.coordination.expire(abandoned.session());
    }

    /** Closes the session from the client's side. */
    void leave() {
        closeWriter();
    }

    /** Hands the open session over to the caller, who expires or closes it. */
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
