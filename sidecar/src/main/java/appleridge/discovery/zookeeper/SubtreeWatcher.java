package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.StalenessCause;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apache.zookeeper.AddWatchMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/**
 * Reads the nodes under a path through one handle: first all of them, then those that change.
 * Events and responses arrive on the handle's event thread, in the ensemble's order: a response
 * that follows an event is no older than it. Thread-safe; the listener is called with this object's
 * lock held.
 */
final class SubtreeWatcher {
    /**
     * The data that an operator writes into the root to accept the state of an ensemble that was
     * wiped.
     */
    static final String ACCEPT = "accept";

    /** Bound on the listings of shards in flight. */
    private static final int MAX_OPEN_LISTINGS = 8;

    /** The least number of bytes that a name takes in a response. */
    private static final int MIN_BYTES_PER_NAME = 8;

    /** Consecutive connections lost during a listing, after which it counts as too large. */
    private static final int MAX_LOST_LISTINGS = 2;

    private final ZooKeeper client;
    private final ZooKeeperSettings settings;
    private final NodePaths paths;
    private final SubtreeListener listener;
    private final CallCounter calls = new CallCounter();
    private final PendingSnapshot snapshot = new PendingSnapshot();
    private final NodeReader reader;
    private final Deque<String> unlistedShards = new ArrayDeque<>();
    private int lostListings;

    /** Counts snapshots; responses that belong to an earlier one are ignored. */
    private int snapshotEpoch;

    /** The highest transaction in the pending snapshot. */
    private long snapshotZxid;

    /** The latest transaction under the path that this handle has seen. */
    private long highestZxid;

    /** Whether events name their transaction; servers before 3.9 do not send it. */
    private boolean eventsCarryZxid = true;

    /** Whether the server has lost its quorum, and so does not support {@code sync}. */
    private boolean readOnlyServer;

    private boolean closed;

    SubtreeWatcher(
            ZooKeeper client,
            ZooKeeperSettings settings,
            NodeJsonParser json,
            SubtreeListener listener) {
        this.client = client;
        this.settings = settings;
        this.paths = new NodePaths(settings.root(), settings.shards());
        this.listener = listener;
        this.reader = new NodeReader(this, client, paths, json, calls, new ReadSink());
    }

    /** Reads all nodes from the start; the watch is set before the first read. */
    synchronized void readAll(boolean readOnly) {
        if (closed) {
            return;
        }
        readOnlyServer = readOnly;
        dropSnapshot();
        if (lostListings >= MAX_LOST_LISTINGS) {
            lostListings = 0;
            listener.onStale(StalenessCause.TOO_LARGE);
            return;
        }
        int epoch = snapshotEpoch;
        calls.onSent();
        client.addWatch(
                settings.root(),
                AddWatchMode.PERSISTENT_RECURSIVE,
                (code, path, context) -> {
                    synchronized (this) {
                        if (isCurrent(epoch, code)) {
                            if (readOnly) {
                                readRoot(epoch);
                            } else {
                                sync(epoch);
                            }
                        }
                    }
                },
                null);
    }

    /** Drops all calls, which will not be answered after the connection is lost. */
    synchronized void onConnectionLost() {
        reader.onConnectionLost();
        dropSnapshot();
    }

    synchronized void close() {
        onConnectionLost();
        closed = true;
    }

    /** Whether a call is in flight. */
    synchronized boolean isWaiting() {
        return calls.isWaiting();
    }

    /** Returns the number of responses so far. */
    synchronized long answeredCount() {
        return calls.answered();
    }

    private void dropSnapshot() {
        snapshotEpoch++;
        snapshot.reset();
        unlistedShards.clear();
        reader.cancelListed();
    }

    /** Brings the server up to date: a server that lags would return an older state. */
    private void sync(int epoch) {
        calls.onSent();
        client.sync(
                settings.root(),
                (code, path, context) -> {
                    synchronized (this) {
                        if (isCurrent(epoch, code)) {
                            readRoot(epoch);
                        }
                    }
                },
                null);
    }

    private void readRoot(int epoch) {
        calls.onSent();
        client.getData(
                settings.root(),
                false,
                (code, path, context, data, stat) -> {
                    synchronized (this) {
                        if (isCurrent(epoch, code)) {
                            onRootRead(data, stat);
                            if ((long) stat.getNumChildren() * MIN_BYTES_PER_NAME
                                    > settings.maxResponseBytes()) {
                                listener.onStale(StalenessCause.TOO_LARGE);
                            } else {
                                listChildren(epoch);
                            }
                        }
                    }
                },
                null);
    }

    private void onRootRead(byte[] data, Stat stat) {
        highestZxid = Math.max(highestZxid, stat.getPzxid());
        listener.onRoot(
                stat.getCzxid(),
                Math.max(stat.getMzxid(), stat.getPzxid()),
                data != null
                        && data.length < 2 * ACCEPT.length()
                        && new String(data, StandardCharsets.UTF_8).strip().equals(ACCEPT));
    }

    private void listChildren(int epoch) {
        calls.onSent();
        client.getChildren(
                settings.root(),
                false,
                (code, path, context, names, stat) -> {
                    synchronized (this) {
                        lostListings =
                                code == Code.CONNECTIONLOSS.intValue() ? lostListings + 1 : 0;
                        if (isCurrent(epoch, code)) {
                            onChildren(epoch, names, stat);
                        }
                    }
                },
                null);
    }

    private void onChildren(int epoch, List<String> names, Stat stat) {
        snapshot.begin(listener.nanoTime(), settings.shards() ? names.size() : 0);
        snapshotZxid = stat.getPzxid();
        if (settings.shards()) {
            unlistedShards.addAll(names);
            for (int i = 0; i < MAX_OPEN_LISTINGS; i++) {
                listNextShard(epoch);
            }
        } else {
            names.forEach(this::enqueueListed);
        }
        sendReads();
    }

    private void listNextShard(int epoch) {
        String shard = unlistedShards.poll();
        if (shard == null) {
            return;
        }
        calls.onSent();
        client.getChildren(
                paths.path(shard),
                false,
                (code, path, context, names, stat) -> {
                    synchronized (this) {
                        boolean gone = code == Code.NONODE.intValue();
                        if (isCurrent(epoch, gone ? Code.OK.intValue() : code)) {
                            snapshot.onShardListed();
                            if (!gone) {
                                snapshotZxid = Math.max(snapshotZxid, stat.getPzxid());
                                names.forEach(name -> enqueueListed(shard + "/" + name));
                            }
                            listNextShard(epoch);
                            sendReads();
                        }
                    }
                },
                null);
    }

    private void enqueueListed(String name) {
        if (snapshot.expect(name)) {
            reader.enqueueListed(name);
        }
    }

    /** Handles an event of the watch. */
    synchronized void onEvent(WatchedEvent event) {
        if (closed) {
            return;
        }
        boolean changed =
                event.getType() == Watcher.Event.EventType.NodeCreated
                        || event.getType() == Watcher.Event.EventType.NodeDataChanged;
        boolean deleted = event.getType() == Watcher.Event.EventType.NodeDeleted;
        if (event.getPath().equals(settings.root())) {
            onRootEvent(changed, deleted);
            return;
        }
        eventsCarryZxid &= event.getZxid() > 0;
        highestZxid = Math.max(highestZxid, event.getZxid());
        snapshotZxid = Math.max(snapshotZxid, highestZxid);
        String name = paths.name(event.getPath());
        if (name == null) {
            return;
        }
        // An event without a transaction counts as the latest known: only the order is known then.
        long zxid = Math.max(1, event.getZxid() > 0 ? event.getZxid() : highestZxid);
        if (deleted) {
            reader.cancel(name);
            snapshot.remove(name);
            listener.onNodeDeleted(zxid, name);
        } else if (changed) {
            listener.onNodeChanged(zxid, name);
            reader.enqueueChanged(name, event.getZxid());
            if (snapshot.isCollecting()) {
                snapshot.expect(name);
            }
        }
        sendReads();
    }

    private void onRootEvent(boolean changed, boolean deleted) {
        if (changed) {
            readAll(readOnlyServer);
        } else if (deleted) {
            dropSnapshot();
            listener.onStale(StalenessCause.ROOT_MISSING);
        }
    }

    private void sendReads() {
        reader.send();
        if (snapshot.isComplete()) {
            highestZxid = Math.max(highestZxid, snapshotZxid);
            listener.onSnapshot(snapshot.listedAtNanos(), snapshotZxid, snapshot.complete());
        }
    }

    /**
     * Reads the root, and all nodes if its children have changed without an event, because events
     * may be lost. The call also shows whether the server answers more than pings.
     */
    synchronized void probe() {
        if (closed || snapshot.isCollecting() || calls.isWaiting()) {
            return;
        }
        int epoch = snapshotEpoch;
        calls.onSent();
        client.getData(
                settings.root(),
                false,
                (code, path, context, data, stat) -> {
                    synchronized (this) {
                        long before = highestZxid;
                        if (isCurrent(epoch, code)) {
                            onRootRead(data, stat);
                            if (eventsCarryZxid && stat.getPzxid() > before) {
                                readAll(readOnlyServer);
                            }
                        }
                    }
                },
                null);
    }

    /**
     * Sends a call and runs {@code confirmed} after its response, when all earlier events have
     * arrived. Runs it on the handle's event thread, or never if no server answers.
     */
    synchronized void confirm(Runnable confirmed) {
        if (closed) {
            return;
        }
        calls.onSent();
        client.getData(
                settings.root(),
                false,
                (code, path, context, data, stat) -> {
                    synchronized (this) {
                        calls.onAnswered();
                    }
                    Code result = Code.get(code);
                    if (result == Code.OK || result == Code.NONODE || result == Code.NOAUTH) {
                        confirmed.run();
                    }
                },
                null);
    }

    /** Counts a response; whether it is a successful one of the current snapshot. */
    private boolean isCurrent(int epoch, int code) {
        calls.onAnswered();
        if (closed || epoch != snapshotEpoch) {
            return false;
        }
        Code result = Code.get(code);
        switch (result) {
            case OK -> {
                return true;
            }
            case CONNECTIONLOSS, SESSIONEXPIRED -> {}
            case NONODE -> listener.onStale(StalenessCause.ROOT_MISSING);
            case NOAUTH, AUTHFAILED -> listener.onStale(StalenessCause.ACCESS_DENIED);
            default -> listener.onUnexpectedCode(result);
        }
        return false;
    }

    private final class ReadSink implements NodeReader.Sink {
        @Override
        public void onRead(String name, NodeRead read, boolean notified) {
            if (snapshot.isCollecting()) {
                snapshot.put(name, read);
            }
            if (notified) {
                listener.onNodeRead(name, read);
            }
        }

        @Override
        public void onMissing(String name) {
            snapshot.onMissing(name);
        }

        @Override
        public void onZxid(long mzxid) {
            snapshotZxid = Math.max(snapshotZxid, mzxid);
        }

        @Override
        public void onUnexpectedCode(Code code) {
            listener.onUnexpectedCode(code);
        }

        @Override
        public void onBatchDone() {
            sendReads();
        }
    }
}
