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
        void root(long made, long latest, boolean accepted);

        /** The whole subtree as of the last event; {@code told}: when its names were heard. */
        void whole(long told, long zxid, Map<String, NodeRead> nodes);

        /** A node was made, or its data changed. */
        void changed(long zxid, String name);

        /** What a node of which a change was told holds. */
        void read(String name, NodeRead read);

        /** A node is gone. */
        void gone(long zxid, String name);

        /** The subtree can't be read; {@link SubtreeWatcher#begin} is to be called again. */
        void doubt(StalenessCause why);

        /** As {@link #doubt}, for a reason that there is no word for. */
        void trouble(Code code);

        /** Now, on the loop's clock. */
        long now();
    }

    /**
     * What an operator writes into the path's own data where what a wiped ensemble has is right.
     */
    static final String ACCEPT = "accept";

    /** Nodes that are asked for in one question, at most. */
    private static final int BATCH = 64;

    /** Questions for data that are open at once. */
    private static final int QUESTIONS = 8;

    /** The least bytes that a name takes in an answer. */
    private static final int LEAST_NAME = 8;

    /**
     * So often in a row may the connection be lost over a listing before that is taken for its
     * size.
     */
    private static final int LOST_LISTINGS = 2;

    /** A node whose data is asked for; a later event for it makes another one. */
    private record Ask(String name, long zxid, boolean event) {}

    private final ZooKeeper client;
    private final ZooKeeperSettings settings;
    private final NodeJsonParser json;
    private final Listener listener;

    /** What each name waits for; whoever is not in here any more is not waited for. */
    private final Map<String, Ask> asks = new HashMap<>();

    private final Deque<Ask> urgent = new ArrayDeque<>();
    private final Deque<Ask> bulk = new ArrayDeque<>();
    private int batch = BATCH;
    private int questions;

    /**
     * Counts connections, and readings of the whole; answers that belong to earlier ones are passed
     * over.
     */
    private int connection;

    private int reading;
    private boolean collecting;
    private Map<String, NodeRead> nodes = new LinkedHashMap<>();
    private final Set<String> missing = new HashSet<>();
    private final Deque<String> shards = new ArrayDeque<>();
    private int unlisted;
    private int lostListings;
    private long told;
    private long zxid;

    /** The latest transaction that this handle has heard of under the path. */
    private long highest;

    /**
     * Whether the ensemble says with each event which transaction it was; servers before 3.9 don't.
     */
    private boolean numbered = true;

    private long asked;
    private long answered;

    /** The server has lost the others, and knows no {@code sync}. */
    private boolean readsOnly;

    private boolean closed;

    SubtreeWatcher(
            ZooKeeper client, ZooKeeperSettings settings, NodeJsonParser json, Listener listener) {
        this.client = client;
        this.settings = settings;
        this.json = json;
        this.listener = listener;
    }

    /** Reads the whole from the start; the watch is there before the first question. */
    synchronized void begin(boolean readOnly) {
        if (closed) {
            return;
        }
        readsOnly = readOnly;
        forgetReading();
        if (lostListings >= LOST_LISTINGS) {
            lostListings = 0;
            listener.doubt(StalenessCause.TOO_LARGE);
            return;
        }
        int mine = reading;
        asked++;
        client.addWatch(
                settings.root(),
                AddWatchMode.PERSISTENT_RECURSIVE,
                (code, path, any) -> {
                    synchronized (this) {
                        if (answers(mine, code)) {
                            if (readOnly) {
                                root(mine);
                            } else {
                                sync(mine);
                            }
                        }
                    }
                },
                null);
    }

    /** The connection is lost: what was asked is not answered any more. */
    synchronized void lost() {
        connection++;
        questions = 0;
        asks.clear();
        urgent.clear();
        forgetReading();
    }

    synchronized void close() {
        lost();
        closed = true;
    }

    /** Whether a question is open. */
    synchronized boolean waits() {
        return asked > answered;
    }

    /** Counts up with each answer. */
    synchronized long answered() {
        return answered;
    }

    private void forgetReading() {
        reading++;
        collecting = false;
        unlisted = 0;
        nodes = new LinkedHashMap<>();
        missing.clear();
        shards.clear();
        bulk.clear();
        asks.values().removeIf(ask -> !ask.event);
    }

    /** Danger: without this a server that lags tells an older state after a reconnect. */
    private void sync(int mine) {
        asked++;
        client.sync(
                settings.root(),
                (code, path, any) -> {
                    synchronized (this) {
                        if (answers(mine, code)) {
                            root(mine);
                        }
                    }
                },
                null);
    }

    private void root(int mine) {
        asked++;
        client.getData(
                settings.root(),
                false,
                (code, path, any, data, stat) -> {
                    synchronized (this) {
                        if (answers(mine, code)) {
                            heard(data, stat);
                            if ((long) stat.getNumChildren() * LEAST_NAME
                                    > settings.answerBytes()) {
                                listener.doubt(StalenessCause.TOO_LARGE);
                            } else {
                                list(mine);
                            }
                        }
                    }
                },
                null);
    }

    private void heard(byte[] data, Stat stat) {
        highest = Math.max(highest, stat.getPzxid());
        listener.root(
                stat.getCzxid(),
                Math.max(stat.getMzxid(), stat.getPzxid()),
                data != null
                        && data.length < 2 * ACCEPT.length()
                        && new String(data, StandardCharsets.UTF_8).strip().equals(ACCEPT));
    }

    private void list(int mine) {
        asked++;
        client.getChildren(
                settings.root(),
                false,
                (code, path, any, names, stat) -> {
                    synchronized (this) {
                        lostListings =
                                code == Code.CONNECTIONLOSS.intValue() ? lostListings + 1 : 0;
                        if (answers(mine, code)) {
                            collecting = true;
                            told = listener.now();
                            zxid = stat.getPzxid();
                            if (settings.shards()) {
                                shards.addAll(names);
                                unlisted = names.size();
                                for (int i = 0; i < QUESTIONS; i++) {
                                    shard(mine);
                                }
                            } else {
                                names.forEach(this::wanted);
                            }
                            goOn();
                        }
                    }
                },
                null);
    }

    private void shard(int mine) {
        String shard = shards.poll();
        if (shard == null) {
            return;
        }
        asked++;
        client.getChildren(
                path(shard),
                false,
                (code, path, any, names, stat) -> {
                    synchronized (this) {
                        boolean gone = code == Code.NONODE.intValue();
                        if (answers(mine, gone ? Code.OK.intValue() : code)) {
                            unlisted--;
                            if (!gone) {
                                zxid = Math.max(zxid, stat.getPzxid());
                                names.forEach(name -> wanted(shard + "/" + name));
                            }
                            shard(mine);
                            goOn();
                        }
                    }
                },
                null);
    }

    private void wanted(String name) {
        if (!nodes.containsKey(name) && missing.add(name) && !asks.containsKey(name)) {
            Ask ask = new Ask(name, 0, false);
            asks.put(name, ask);
            bulk.add(ask);
        }
    }

    /** What the watch tells. */
    synchronized void event(WatchedEvent event) {
        if (closed) {
            return;
        }
        boolean made =
                event.getType() == Watcher.Event.EventType.NodeCreated
                        || event.getType() == Watcher.Event.EventType.NodeDataChanged;
        boolean gone = event.getType() == Watcher.Event.EventType.NodeDeleted;
        String name = name(event.getPath());
        if (event.getPath().equals(settings.root())) {
            if (made) {
                begin(readsOnly);
            } else if (gone) {
                forgetReading();
                listener.doubt(StalenessCause.ROOT_MISSING);
            }
            return;
        }
        numbered &= event.getZxid() > 0;
        highest = Math.max(highest, event.getZxid());
        zxid = Math.max(zxid, highest);
        // Where a server doesn't say which transaction it was, the order alone holds.
        long at = Math.max(1, event.getZxid() > 0 ? event.getZxid() : highest);
        if (name == null) {
            return;
        }
        if (gone) {
            asks.remove(name);
            nodes.remove(name);
            missing.remove(name);
            listener.gone(at, name);
        } else if (made) {
            listener.changed(at, name);
            Ask ask = new Ask(name, event.getZxid(), true);
            asks.put(name, ask);
            urgent.add(ask);
            if (collecting && !nodes.containsKey(name)) {
                missing.add(name);
            }
        }
        goOn();
    }

    /** The name of a server's node as it is told; null for any other path. */
    private String name(String path) {
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

    private void goOn() {
        while (questions < QUESTIONS) {
            List<Ask> next = next();
            if (next.isEmpty()) {
                break;
            }
            askData(next);
        }
        if (collecting && unlisted == 0 && missing.isEmpty()) {
            collecting = false;
            highest = Math.max(highest, zxid);
            listener.whole(told, zxid, nodes);
            nodes = new LinkedHashMap<>();
        }
    }

    private List<Ask> next() {
        List<Ask> next = new ArrayList<>();
        while (next.size() < batch && !(urgent.isEmpty() && bulk.isEmpty())) {
            Ask ask = urgent.isEmpty() ? bulk.poll() : urgent.poll();
            if (asks.get(ask.name) == ask) {
                next.add(ask);
            }
        }
        return next;
    }

    private void askData(List<Ask> of) {
        int mine = connection;
        questions++;
        asked++;
        client.multi(
                of.stream().map(ask -> Op.getData(path(ask.name))).toList(),
                (code, path, any, results) -> {
                    synchronized (this) {
                        answered++;
                        if (code == Code.CONNECTIONLOSS.intValue()) {
                            // Perhaps because the answer was larger than it may be.
                            batch = Math.max(1, batch / 2);
                        }
                        if (mine == connection && !closed) {
                            questions--;
                            data(of, code, results);
                            goOn();
                        }
                    }
                },
                null);
    }

    private void data(List<Ask> of, int code, List<OpResult> results) {
        if (results == null || results.size() != of.size()) {
            of.forEach(ask -> asks.remove(ask.name, ask));
            if (code != Code.CONNECTIONLOSS.intValue() && code != Code.SESSIONEXPIRED.intValue()) {
                listener.trouble(Code.get(code));
            }
            return;
        }
        batch = Math.min(BATCH, 2 * batch);
        for (int i = 0; i < of.size(); i++) {
            Ask ask = of.get(i);
            if (asks.get(ask.name) == ask) {
                asks.remove(ask.name);
                data(ask, results.get(i));
            }
        }
    }

    private void data(Ask ask, OpResult result) {
        NodeRead read;
        if (result instanceof OpResult.GetDataResult got) {
            if (got.getStat().getMzxid() < ask.zxid) {
                // Danger: older than the event that asks for it.
                Ask again = new Ask(ask.name, ask.zxid, ask.event);
                asks.put(ask.name, again);
                urgent.add(again);
                return;
            }
            zxid = Math.max(zxid, got.getStat().getMzxid());
            read = json.read(ask.name, got.getData(), got.getStat());
        } else {
            int code = ((OpResult.ErrorResult) result).getErr();
            if (code == Code.NONODE.intValue()) {
                // Gone meanwhile, which the watch tells.
                missing.remove(ask.name);
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
            missing.remove(ask.name);
        }
        if (ask.event) {
            listener.read(ask.name, read);
        }
    }

    /**
     * Asks whether the path is as it was last heard of: a lost event, or a server that only answers
     * pings.
     */
    synchronized void probe() {
        if (closed || collecting || waits()) {
            return;
        }
        int mine = reading;
        asked++;
        client.getData(
                settings.root(),
                false,
                (code, path, any, data, stat) -> {
                    synchronized (this) {
                        long before = highest;
                        if (answers(mine, code)) {
                            heard(data, stat);
                            if (numbered && stat.getPzxid() > before) {
                                begin(readsOnly);
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
        asked++;
        client.getData(
                settings.root(),
                false,
                (code, path, any, data, stat) -> {
                    synchronized (this) {
                        answered++;
                    }
                    Code what = Code.get(code);
                    if (what == Code.OK || what == Code.NONODE || what == Code.NOAUTH) {
                        heard.run();
                    }
                },
                null);
    }

    private boolean answers(int mine, int code) {
        answered++;
        if (closed || mine != reading) {
            return false;
        }
        Code what = Code.get(code);
        switch (what) {
            case OK -> {
                return true;
            }
            case CONNECTIONLOSS, SESSIONEXPIRED -> {}
            case NONODE -> listener.doubt(StalenessCause.ROOT_MISSING);
            case NOAUTH, AUTHFAILED -> listener.doubt(StalenessCause.ACCESS_DENIED);
            default -> listener.trouble(what);
        }
        return false;
    }
}
