package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.StalenessCause;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.zookeeper.AddWatchMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.Op;
import org.apache.zookeeper.OpResult;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/**
 * Reads the nodes under a path by one handle, whole and then what changes, with a bounded number of
 * questions open at once. Whatever the ensemble says comes on the handle's one thread, in the
 * ensemble's order: an answer that follows an event is no older than it.
 */
final class SubtreeWatcher {
    /** What comes of it. To take it in must not take long. */
    interface Listener {
        /**
         * The path itself is there: which transaction made it, and the latest that touched what it
         * holds.
         */
        void onRoot(long made, long latest, boolean accepted);

        /** The whole subtree as of the last event; {@code told}: when its names were heard. */
        void onSnapshot(long told, long zxid, Map<String, NodeRead> nodes);

        /** A node was made, or its data changed. */
        void onNodeChanged(long zxid, String name);

        /** What a node of which a change was told holds. */
        void onNodeRead(String name, NodeRead read);

        /** A node is gone. */
        void onNodeDeleted(long zxid, String name);

        /** The subtree can't be read; {@link SubtreeWatcher#readAll} is to be called again. */
        void onStale(StalenessCause why);

        /** As {@link #doubt}, for a reason that there is no word for. */
        void onUnexpectedCode(Code code);

        /** Now, on the loop's clock. */
        long nanoTime();
    }

    /**
     * What an operator writes into the path's own data where what a wiped ensemble has is right.
     */
    static final String ACCEPT = "accept";

    /** Nodes that are asked for in one question, at most. */
    private static final int MAX_BATCH = 64;

    /** Questions for data that are open at once. */
    private static final int MAX_OPEN_READS = 8;

    /** The least bytes that a name takes in an answer. */
    private static final int MIN_BYTES_PER_NAME = 8;

    /**
     * So often in a row may the connection be lost over a listing before that is taken for its
     * size.
     */
    private static final int MAX_LOST_LISTINGS = 2;

    /** A node whose data is asked for; a later event for it makes another one. */
    private record NodeRequest(String name, long zxid, boolean event) {}

    private final ZooKeeper client;
    private final ZooKeeperSettings settings;
    private final NodeJsonParser json;
    private final Listener listener;

    /** What each name waits for; whoever is not in here any more is not waited for. */
    private final Map<String, NodeRequest> requests = new HashMap<>();

    private final Deque<NodeRequest> urgent = new ArrayDeque<>();
    private final Deque<NodeRequest> bulk = new ArrayDeque<>();
    private int batch = MAX_BATCH;
    private int openReads;

    /**
     * Counts connections, and readings of the whole; answers that belong to earlier ones are passed
     * over.
     */
    private int connectionEpoch;

    private int readingEpoch;
    private boolean collecting;
    private Map<String, NodeRead> nodes = new LinkedHashMap<>();
    private final Set<String> unread = new HashSet<>();
    private final Deque<String> shards = new ArrayDeque<>();
    private int openListings;
    private int lostListings;
    private long listedAtNanos;
    private long snapshotZxid;

    /** The latest transaction that this handle has heard of under the path. */
    private long highestZxid;

    /**
     * Whether the ensemble says with each event which transaction it was; servers before 3.9 don't.
     */
    private boolean eventsCarryZxid = true;

    private long sentCount;
    private long answeredCount;

    /** The server has lost the others, and knows no {@code sync}. */
    private boolean readOnlyServer;

    private boolean closed;

    SubtreeWatcher(
            ZooKeeper client, ZooKeeperSettings settings, NodeJsonParser json, Listener listener) {
        this.client = client;
        this.settings = settings;
        this.json = json;
        this.listener = listener;
    }

    /** Reads the whole from the start; the watch is there before the first question. */
    synchronized void readAll(boolean readOnly) {
        if (closed) {
            return;
        }
        readOnlyServer = readOnly;
        forgetReading();
        if (lostListings >= MAX_LOST_LISTINGS) {
            lostListings = 0;
            listener.onStale(StalenessCause.TOO_LARGE);
            return;
        }
        int mine = readingEpoch;
        sentCount++;
        client.addWatch(
                settings.root(),
                AddWatchMode.PERSISTENT_RECURSIVE,
                (code, path, any) -> {
                    synchronized (this) {
                        if (isCurrent(mine, code)) {
                            if (readOnly) {
                                readRoot(mine);
                            } else {
                                sync(mine);
                            }
                        }
                    }
                },
                null);
    }

    /** The connection is lost: what was asked is not answered any more. */
    synchronized void onConnectionLost() {
        connectionEpoch++;
        openReads = 0;
        requests.clear();
        urgent.clear();
        forgetReading();
    }

    synchronized void close() {
        onConnectionLost();
        closed = true;
    }

    /** Whether a question is open. */
    synchronized boolean isWaiting() {
        return sentCount > answeredCount;
    }

    /** Counts up with each answer. */
    synchronized long answeredCount() {
        return answeredCount;
    }

    private void forgetReading() {
        readingEpoch++;
        collecting = false;
        openListings = 0;
        nodes = new LinkedHashMap<>();
        unread.clear();
        shards.clear();
        bulk.clear();
        requests.values().removeIf(ask -> !ask.event);
    }

    /** Danger: without this a server that lags tells an older state after a reconnect. */
    private void sync(int mine) {
        sentCount++;
        client.sync(
                settings.root(),
                (code, path, any) -> {
                    synchronized (this) {
                        if (isCurrent(mine, code)) {
                            readRoot(mine);
                        }
                    }
                },
                null);
    }

    private void readRoot(int mine) {
        sentCount++;
        client.getData(
                settings.root(),
                false,
                (code, path, any, data, stat) -> {
                    synchronized (this) {
                        if (isCurrent(mine, code)) {
                            onRootRead(data, stat);
                            if ((long) stat.getNumChildren() * MIN_BYTES_PER_NAME
                                    > settings.answerBytes()) {
                                listener.onStale(StalenessCause.TOO_LARGE);
                            } else {
                                listChildren(mine);
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

    private void listChildren(int mine) {
        sentCount++;
        client.getChildren(
                settings.root(),
                false,
                (code, path, any, names, stat) -> {
                    synchronized (this) {
                        lostListings =
                                code == Code.CONNECTIONLOSS.intValue() ? lostListings + 1 : 0;
                        if (isCurrent(mine, code)) {
                            collecting = true;
                            listedAtNanos = listener.nanoTime();
                            snapshotZxid = stat.getPzxid();
                            if (settings.shards()) {
                                shards.addAll(names);
                                openListings = names.size();
                                for (int i = 0; i < MAX_OPEN_READS; i++) {
                                    listNextShard(mine);
                                }
                            } else {
                                names.forEach(this::enqueue);
                            }
                            sendReads();
                        }
                    }
                },
                null);
    }

    private void listNextShard(int mine) {
        String shard = shards.poll();
        if (shard == null) {
            return;
        }
        sentCount++;
        client.getChildren(
                path(shard),
                false,
                (code, path, any, names, stat) -> {
                    synchronized (this) {
                        boolean gone = code == Code.NONODE.intValue();
                        if (isCurrent(mine, gone ? Code.OK.intValue() : code)) {
                            openListings--;
                            if (!gone) {
                                snapshotZxid = Math.max(snapshotZxid, stat.getPzxid());
                                names.forEach(name -> enqueue(shard + "/" + name));
                            }
                            listNextShard(mine);
                            sendReads();
                        }
                    }
                },
                null);
    }

    private void enqueue(String name) {
        if (!nodes.containsKey(name) && unread.add(name) && !requests.containsKey(name)) {
            NodeRequest ask = new NodeRequest(name, 0, false);
            requests.put(name, ask);
            bulk.add(ask);
        }
    }

    /** What the watch tells. */
    synchronized void onEvent(WatchedEvent event) {
        if (closed) {
            return;
        }
        boolean made =
                event.getType() == Watcher.Event.EventType.NodeCreated
                        || event.getType() == Watcher.Event.EventType.NodeDataChanged;
        boolean gone = event.getType() == Watcher.Event.EventType.NodeDeleted;
        String name = serverName(event.getPath());
        if (event.getPath().equals(settings.root())) {
            if (made) {
                readAll(readOnlyServer);
            } else if (gone) {
                forgetReading();
                listener.onStale(StalenessCause.ROOT_MISSING);
            }
            return;
        }
        eventsCarryZxid &= event.getZxid() > 0;
        highestZxid = Math.max(highestZxid, event.getZxid());
        snapshotZxid = Math.max(snapshotZxid, highestZxid);
        // Where a server doesn't say which transaction it was, the order alone holds.
        long at = Math.max(1, event.getZxid() > 0 ? event.getZxid() : highestZxid);
        if (name == null) {
            return;
        }
        if (gone) {
            requests.remove(name);
            nodes.remove(name);
            unread.remove(name);
            listener.onNodeDeleted(at, name);
        } else if (made) {
            listener.onNodeChanged(at, name);
            NodeRequest ask = new NodeRequest(name, event.getZxid(), true);
            requests.put(name, ask);
            urgent.add(ask);
            if (collecting && !nodes.containsKey(name)) {
                unread.add(name);
            }
        }
        sendReads();
    }

    /** The name of a server's node as it is told; null for any other path. */
    private String serverName(String path) {
        String above = settings.root().equals("/") ? "/" : settings.root() + "/";
        if (!path.startsWith(above)) {
            return null;
        }
        String name = path.substring(above.length());
        int slash = name.indexOf('/');
        boolean fits =
                settings.shards() ? slash > 0 && name.indexOf('/', slash + 1) < 0 : slash < 0;
        return fits && !name.isEmpty() ? name : null;
    }

    private String path(String name) {
        return (settings.root().equals("/") ? "/" : settings.root() + "/") + name;
    }

    private void sendReads() {
        while (openReads < MAX_OPEN_READS) {
            List<NodeRequest> next = nextBatch();
            if (next.isEmpty()) {
                break;
            }
            sendBatch(next);
        }
        if (collecting && openListings == 0 && unread.isEmpty()) {
            collecting = false;
            highestZxid = Math.max(highestZxid, snapshotZxid);
            listener.onSnapshot(listedAtNanos, snapshotZxid, nodes);
            nodes = new LinkedHashMap<>();
        }
    }

    private List<NodeRequest> nextBatch() {
        List<NodeRequest> next = new ArrayList<>();
        while (next.size() < batch && !(urgent.isEmpty() && bulk.isEmpty())) {
            NodeRequest ask = urgent.isEmpty() ? bulk.poll() : urgent.poll();
            if (requests.get(ask.name) == ask) {
                next.add(ask);
            }
        }
        return next;
    }

    private void sendBatch(List<NodeRequest> of) {
        int mine = connectionEpoch;
        openReads++;
        sentCount++;
        client.multi(
                of.stream().map(ask -> Op.getData(path(ask.name))).toList(),
                (code, path, any, results) -> {
                    synchronized (this) {
                        answeredCount++;
                        if (code == Code.CONNECTIONLOSS.intValue()) {
                            // Perhaps because the answer was larger than it may be.
                            batch = Math.max(1, batch / 2);
                        }
                        if (mine == connectionEpoch && !closed) {
                            openReads--;
                            onBatchRead(of, code, results);
                            sendReads();
                        }
                    }
                },
                null);
    }

    private void onBatchRead(List<NodeRequest> of, int code, List<OpResult> results) {
        if (results == null || results.size() != of.size()) {
            of.forEach(ask -> requests.remove(ask.name, ask));
            if (code != Code.CONNECTIONLOSS.intValue() && code != Code.SESSIONEXPIRED.intValue()) {
                listener.onUnexpectedCode(Code.get(code));
            }
            return;
        }
        batch = Math.min(MAX_BATCH, 2 * batch);
        for (int i = 0; i < of.size(); i++) {
            NodeRequest ask = of.get(i);
            if (requests.get(ask.name) == ask) {
                requests.remove(ask.name);
                onBatchRead(ask, results.get(i));
            }
        }
    }

    private void onBatchRead(NodeRequest ask, OpResult result) {
        NodeRead read;
        if (result instanceof OpResult.GetDataResult got) {
            if (got.getStat().getMzxid() < ask.zxid) {
                // Danger: older than the event that asks for it.
                NodeRequest again = new NodeRequest(ask.name, ask.zxid, ask.event);
                requests.put(ask.name, again);
                urgent.add(again);
                return;
            }
            snapshotZxid = Math.max(snapshotZxid, got.getStat().getMzxid());
            read = json.read(ask.name, got.getData(), got.getStat());
        } else {
            int code = ((OpResult.ErrorResult) result).getErr();
            if (code == Code.NONODE.intValue()) {
                // Gone meanwhile, which the watch tells.
                unread.remove(ask.name);
                return;
            }
            read =
                    NodeJsonParser.unread(
                            code == Code.NOAUTH.intValue()
                                    ? "may not be read"
                                    : "can't be read: " + Code.get(code),
                            ask.zxid);
        }
        if (collecting) {
            nodes.put(ask.name, read);
            unread.remove(ask.name);
        }
        if (ask.event) {
            listener.onNodeRead(ask.name, read);
        }
    }

    /**
     * Asks whether the path is as it was last heard of: a lost event, or a server that only answers
     * pings.
     */
    synchronized void probe() {
        if (closed || collecting || isWaiting()) {
            return;
        }
        int mine = readingEpoch;
        sentCount++;
        client.getData(
                settings.root(),
                false,
                (code, path, any, data, stat) -> {
                    synchronized (this) {
                        long before = highestZxid;
                        if (isCurrent(mine, code)) {
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
     * Asks for anything, and tells when that is answered: by then all has come that was told
     * before.
     */
    synchronized void confirm(Runnable heard) {
        if (closed) {
            return;
        }
        sentCount++;
        client.getData(
                settings.root(),
                false,
                (code, path, any, data, stat) -> {
                    synchronized (this) {
                        answeredCount++;
                    }
                    Code what = Code.get(code);
                    if (what == Code.OK || what == Code.NONODE || what == Code.NOAUTH) {
                        heard.run();
                    }
                },
                null);
    }

    private boolean isCurrent(int mine, int code) {
        answeredCount++;
        if (closed || mine != readingEpoch) {
            return false;
        }
        Code what = Code.get(code);
        switch (what) {
            case OK -> {
                return true;
            }
            case CONNECTIONLOSS, SESSIONEXPIRED -> {}
            case NONODE -> listener.onStale(StalenessCause.ROOT_MISSING);
            case NOAUTH, AUTHFAILED -> listener.onStale(StalenessCause.ACCESS_DENIED);
            default -> listener.onUnexpectedCode(what);
        }
        return false;
    }
}
