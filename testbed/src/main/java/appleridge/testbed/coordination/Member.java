package appleridge.testbed.coordination;

import appleridge.testbed.coordination.Rules.Asked;
import appleridge.testbed.coordination.Watches.Kind;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.apache.jute.Record;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.MultiOperationRecord;
import org.apache.zookeeper.MultiResponse;
import org.apache.zookeeper.Op;
import org.apache.zookeeper.OpResult;
import org.apache.zookeeper.Watcher.Event.EventType;
import org.apache.zookeeper.Watcher.Event.KeeperState;
import org.apache.zookeeper.Watcher.WatcherType;
import org.apache.zookeeper.ZooDefs.AddWatchModes;
import org.apache.zookeeper.ZooDefs.OpCode;
import org.apache.zookeeper.ZooDefs.Perms;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.proto.AddWatchRequest;
import org.apache.zookeeper.proto.AuthPacket;
import org.apache.zookeeper.proto.CheckVersionRequest;
import org.apache.zookeeper.proto.CheckWatchesRequest;
import org.apache.zookeeper.proto.ConnectRequest;
import org.apache.zookeeper.proto.ConnectResponse;
import org.apache.zookeeper.proto.Create2Response;
import org.apache.zookeeper.proto.CreateRequest;
import org.apache.zookeeper.proto.CreateResponse;
import org.apache.zookeeper.proto.DeleteRequest;
import org.apache.zookeeper.proto.ErrorResponse;
import org.apache.zookeeper.proto.ExistsRequest;
import org.apache.zookeeper.proto.ExistsResponse;
import org.apache.zookeeper.proto.GetACLRequest;
import org.apache.zookeeper.proto.GetACLResponse;
import org.apache.zookeeper.proto.GetChildren2Response;
import org.apache.zookeeper.proto.GetChildrenRequest;
import org.apache.zookeeper.proto.GetChildrenResponse;
import org.apache.zookeeper.proto.GetDataRequest;
import org.apache.zookeeper.proto.GetDataResponse;
import org.apache.zookeeper.proto.RemoveWatchesRequest;
import org.apache.zookeeper.proto.RequestHeader;
import org.apache.zookeeper.proto.SetACLRequest;
import org.apache.zookeeper.proto.SetACLResponse;
import org.apache.zookeeper.proto.SetDataRequest;
import org.apache.zookeeper.proto.SetDataResponse;
import org.apache.zookeeper.proto.SetWatches;
import org.apache.zookeeper.proto.SetWatches2;
import org.apache.zookeeper.proto.SyncRequest;
import org.apache.zookeeper.proto.SyncResponse;
import org.apache.zookeeper.proto.WatcherEvent;

/**
 * One member of an ensemble, with its own copy of what is held, which may be older than the
 * others', and its clients' connections. Pure: frames go in and out.
 */
final class Member {
    /** A lag without end. */
    static final long STANDS = Long.MAX_VALUE;

    private static final int EVENT = -1;
    private static final int PASSWORD_BYTES = 16;
    private static final long PASSWORD_SEED = 0x61707072;

    private final Ensemble ensemble;
    private final Set<MemberConnection> visits = new LinkedHashSet<>();
    private final Map<Integer, Long> asked = new TreeMap<>();
    private Tree tree = new Tree();
    private long applied;
    private long remembered;
    private long lag;
    private boolean apart;
    private boolean up;
    private boolean readOnly;
    private boolean hung;
    private int breakAt;
    private boolean breakDone;
    private long nextLocal = 1;

    Member(Ensemble ensemble) {
        this.ensemble = ensemble;
    }

    /** Takes part, or has ended; what it remembers stays. */
    void up(boolean isUp) {
        up = isUp;
        hung = false;
        ensemble.regroup();
        if (!up) {
            closeAll();
        }
    }

    boolean up() {
        return up;
    }

    /** Out of reach for those who are not, and they for it. */
    void side(boolean isApart) {
        apart = isApart;
    }

    boolean apart() {
        return apart;
    }

    /** What it remembers of the history; only while it has no part in it. */
    void remembers(long zxid) {
        remembered = zxid;
    }

    long remembered() {
        return remembered;
    }

    /** Applies changes so many nanoseconds late from now on; {@link #STANDS}: not at all. */
    void lag(long nanos) {
        lag = nanos;
        catchUp();
    }

    /** Whether clients that only read may come while it has no quorum. */
    void readOnly(boolean isAllowed) {
        readOnly = isAllowed;
    }

    /**
     * From now on it answers pings and new connections and nothing else, or everything, held first.
     */
    void hung(boolean isHung) {
        hung = isHung;
        List.copyOf(visits).forEach(this::goOn);
    }

    /**
     * The next request of this kind ends its connection, unanswered: once it is done, or undone.
     */
    void breakNext(int type, boolean done) {
        breakAt = type;
        breakDone = done;
    }

    long applied() {
        return applied;
    }

    Map<Integer, Long> asked() {
        return new TreeMap<>(asked);
    }

    void joins() {
        closeAll();
        remembered = ensemble.last();
        applied = remembered;
        tree = ensemble.replay(applied);
    }

    void leaves() {
        closeAll();
        remembered = ensemble.last();
    }

    private void closeAll() {
        List.copyOf(visits).forEach(this::close);
    }

    private void close(MemberConnection visit) {
        gone(visit);
        visit.close();
    }

    private boolean leads() {
        return ensemble.has(this);
    }

    /** Applies what it may by now, and answers who waited for it. */
    void catchUp() {
        while (leads()
                && lag != STANDS
                && applied < ensemble.last()
                && ensemble.entry(applied + 1).at() + lag - ensemble.now() <= 0) {
            applied++;
            ensemble.apply(tree, applied, this::tell);
            for (Change each : ensemble.entry(applied).changes()) {
                if (each instanceof Change.End end) {
                    visits.stream()
                            .filter(visit -> visit.session == end.session() && !visit.leaving)
                            .toList()
                            .forEach(this::close);
                }
            }
        }
        for (MemberConnection visit : List.copyOf(visits)) {
            visit.reached(applied);
            goOn(visit);
        }
    }

    private void tell(EventType what, String path, List<ACL> acl) {
        for (MemberConnection visit : List.copyOf(visits)) {
            if (visit.watches.hit(what, path) && Rules.may(acl, Perms.READ, visit.asker())) {
                tell(visit, what, path, applied);
            }
        }
    }

    private static void tell(MemberConnection visit, EventType what, String path, long zxid) {
        visit.answer(
                EVENT,
                zxid,
                0,
                new WatcherEvent(
                        what.getIntValue(), KeeperState.SyncConnected.getIntValue(), path));
    }

    /** A connection was opened. */
    void came(MemberConnection visit) {
        visits.add(visit);
    }

    /** A connection was closed. */
    void gone(MemberConnection visit) {
        visits.remove(visit);
    }

    /** Takes a whole frame, without its length; an empty one asks whether it only reads. */
    void received(MemberConnection visit, byte[] frame) {
        if (!visits.contains(visit)) {
            return;
        }
        if (frame.length == 0) {
            visit.send((leads() ? "rw" : "ro").getBytes(StandardCharsets.US_ASCII));
            close(visit);
        } else if (!visit.greeted) {
            greet(visit, new Wire.In(frame).read(new ConnectRequest()));
        } else {
            RequestHeader head = new Wire.In(frame).read(new RequestHeader());
            asked.merge(head.getType(), 1L, Long::sum);
            if (leads()) {
                ensemble.touch(visit.session);
            }
            if (head.getType() == OpCode.ping) {
                visit.answer(head.getXid(), applied, 0, null);
            } else {
                visit.waiting.add(frame);
                goOn(visit);
            }
        }
    }

    /** Takes what waits, up to what has to wait for the member itself. */
    private void goOn(MemberConnection visit) {
        if (visit.busy) {
            return;
        }
        visit.busy = true;
        while (!hung && !visit.awaits() && !visit.waiting.isEmpty() && visits.contains(visit)) {
            take(visit, visit.waiting.remove());
        }
        visit.busy = false;
    }

    private void greet(MemberConnection visit, ConnectRequest ask) {
        visit.greeted = true;
        if (!leads() && !(readOnly && ask.getReadOnly()) || ask.getLastZxidSeen() > applied) {
            close(visit);
            return;
        }
        int timeout = ensemble.granted(ask.getTimeOut());
        if (ask.getSessionId() == 0) {
            asked.merge(OpCode.createSession, 1L, Long::sum);
            visit.session = leads() ? ensemble.begin(timeout, visit) : nextLocal++;
            visit.await(leads() ? ensemble.last() : applied, () -> welcome(visit, timeout));
            ensemble.members().forEach(Member::catchUp);
        } else if (Arrays.equals(ask.getPasswd(), password(ask.getSessionId()))
                && (leads()
                        ? ensemble.resume(ask.getSessionId(), timeout, visit)
                        : tree.sessions().containsKey(ask.getSessionId()))) {
            visits.stream()
                    .filter(old -> old.session == ask.getSessionId())
                    .toList()
                    .forEach(this::close);
            visit.session = ask.getSessionId();
            welcome(visit, timeout);
        } else {
            visit.send(Wire.frame(new ConnectResponse(0, 0, 0, new byte[PASSWORD_BYTES], false)));
            close(visit);
        }
    }

    private void welcome(MemberConnection visit, int timeout) {
        visit.send(
                Wire.frame(
                        new ConnectResponse(
                                0, timeout, visit.session, password(visit.session), !leads())));
    }

    private static byte[] password(long session) {
        byte[] password = new byte[PASSWORD_BYTES];
        new Random(session ^ PASSWORD_SEED).nextBytes(password);
        return password;
    }

    private void take(MemberConnection visit, byte[] frame) {
        Wire.In in = new Wire.In(frame);
        RequestHeader head = in.read(new RequestHeader());
        boolean breaks = breakAt != 0 && head.getType() == breakAt;
        if (breaks) {
            breakAt = 0;
            visit.mute();
        }
        try {
            if (!breaks || breakDone) {
                take(visit, head, in);
            }
        } catch (KeeperException.SessionMovedException
                | UncheckedIOException
                | IllegalArgumentException e) {
            // What no client of ours may ask ends its own connection, whoever's turn it is.
            close(visit);
        } catch (KeeperException e) {
            visit.answer(head.getXid(), applied, e.code().intValue(), null);
        }
        if (breaks) {
            close(visit);
        }
    }

    private void take(MemberConnection visit, RequestHeader head, Wire.In in)
            throws KeeperException {
        switch (head.getType()) {
            case OpCode.create, OpCode.create2 -> write(visit, head, in.read(new CreateRequest()));
            case OpCode.delete -> write(visit, head, in.read(new DeleteRequest()));
            case OpCode.setData -> write(visit, head, in.read(new SetDataRequest()));
            case OpCode.setACL -> write(visit, head, in.read(new SetACLRequest()));
            case OpCode.check -> write(visit, head, in.read(new CheckVersionRequest()));
            case OpCode.multi -> multi(visit, head, in.read(new MultiOperationRecord()));
            case OpCode.multiRead ->
                    answer(visit, head, multiRead(visit, in.read(new MultiOperationRecord())));
            case OpCode.sync -> {
                needQuorum();
                SyncRequest sync = in.read(new SyncRequest());
                later(visit, head, new SyncResponse(sync.getPath()));
            }
            case OpCode.closeSession -> leave(visit, head);
            case OpCode.auth -> identify(visit, head, in.read(new AuthPacket()));
            case OpCode.setWatches -> {
                SetWatches set = in.read(new SetWatches());
                watchAgain(
                        visit,
                        new SetWatches2(
                                set.getRelativeZxid(),
                                set.getDataWatches(),
                                set.getExistWatches(),
                                set.getChildWatches(),
                                List.of(),
                                List.of()));
                answer(visit, head, null);
            }
            case OpCode.setWatches2 -> {
                watchAgain(visit, in.read(new SetWatches2()));
                answer(visit, head, null);
            }
            case OpCode.addWatch -> {
                AddWatchRequest add = in.read(new AddWatchRequest());
                visit.watches.add(
                        add.getMode() == AddWatchModes.persistent
                                ? Kind.PERSISTENT
                                : Kind.RECURSIVE,
                        add.getPath());
                answer(visit, head, new ErrorResponse(0));
            }
            case OpCode.removeWatches -> {
                RemoveWatchesRequest remove = in.read(new RemoveWatchesRequest());
                unwatch(visit, remove.getPath(), remove.getType(), true);
                answer(visit, head, null);
            }
            case OpCode.checkWatches -> {
                CheckWatchesRequest check = in.read(new CheckWatchesRequest());
                unwatch(visit, check.getPath(), check.getType(), false);
                answer(visit, head, null);
            }
            default -> answer(visit, head, read(visit, head.getType(), in));
        }
    }

    private void answer(MemberConnection visit, RequestHeader head, Record record) {
        visit.answer(head.getXid(), applied, 0, record);
    }

    /** Answers once it has applied all that there is now. */
    private void later(MemberConnection visit, RequestHeader head, Record record) {
        long zxid = ensemble.last();
        visit.await(zxid, () -> visit.answer(head.getXid(), zxid, 0, record));
        visit.reached(applied);
    }

    private void needQuorum() throws KeeperException {
        if (!leads()) {
            throw KeeperException.create(Code.NOTREADONLY);
        }
    }

    private Record read(MemberConnection visit, int type, Wire.In in) throws KeeperException {
        switch (type) {
            case OpCode.exists -> {
                ExistsRequest ask = in.read(new ExistsRequest());
                watch(visit, ask.getWatch(), Kind.DATA, ask.getPath());
                return new ExistsResponse(Rules.stat(tree, ask.getPath()));
            }
            case OpCode.getData -> {
                GetDataRequest ask = in.read(new GetDataRequest());
                Tree.Node node = Rules.permitted(tree, ask.getPath(), Perms.READ, visit.asker());
                watch(visit, ask.getWatch(), Kind.DATA, ask.getPath());
                return new GetDataResponse(node.data(), node.stat());
            }
            case OpCode.getChildren, OpCode.getChildren2 -> {
                GetChildrenRequest ask = in.read(new GetChildrenRequest());
                Tree.Node node = Rules.permitted(tree, ask.getPath(), Perms.READ, visit.asker());
                watch(visit, ask.getWatch(), Kind.CHILDREN, ask.getPath());
                return type == OpCode.getChildren
                        ? new GetChildrenResponse(node.children())
                        : new GetChildren2Response(node.children(), node.stat());
            }
            case OpCode.getACL -> {
                GetACLRequest ask = in.read(new GetACLRequest());
                Tree.Node node =
                        Rules.permitted(
                                tree, ask.getPath(), Perms.READ | Perms.ADMIN, visit.asker());
                return new GetACLResponse(Rules.shown(node, visit.asker()), node.stat());
            }
            default -> throw KeeperException.create(Code.UNIMPLEMENTED);
        }
    }

    private static void watch(MemberConnection visit, boolean wanted, Kind kind, String path) {
        if (wanted) {
            visit.watches.add(kind, path);
        }
    }

    private Record multiRead(MemberConnection visit, MultiOperationRecord many) {
        MultiResponse response = new MultiResponse();
        for (Op each : many) {
            try {
                Tree.Node node = Rules.permitted(tree, each.getPath(), Perms.READ, visit.asker());
                response.add(
                        each.getType() == OpCode.getData
                                ? new OpResult.GetDataResult(node.data(), node.stat())
                                : new OpResult.GetChildrenResult(node.children()));
            } catch (KeeperException e) {
                response.add(new OpResult.ErrorResult(e.code().intValue()));
            }
        }
        return response;
    }

    private void write(MemberConnection visit, RequestHeader head, Record request)
            throws KeeperException {
        needQuorum();
        OpResult result = ensemble.write(List.of(new Asked(head.getType(), request)), visit).get(0);
        if (result instanceof OpResult.ErrorResult failed) {
            throw KeeperException.create(Code.get(failed.getErr()));
        }
        Record response = null;
        if (result instanceof OpResult.CreateResult made) {
            response =
                    made.getStat() == null
                            ? new CreateResponse(made.getPath())
                            : new Create2Response(made.getPath(), made.getStat());
        } else if (result instanceof OpResult.SetDataResult set) {
            response =
                    head.getType() == OpCode.setACL
                            ? new SetACLResponse(set.getStat())
                            : new SetDataResponse(set.getStat());
        }
        later(visit, head, response);
    }

    private void multi(MemberConnection visit, RequestHeader head, MultiOperationRecord many)
            throws KeeperException {
        needQuorum();
        List<Asked> all = new ArrayList<>();
        for (Op each : many) {
            all.add(new Asked(each.getType(), each.toRequestRecord()));
        }
        MultiResponse response = new MultiResponse();
        ensemble.write(all, visit).forEach(response::add);
        later(visit, head, response);
    }

    private void leave(MemberConnection visit, RequestHeader head) {
        visit.leaving = true;
        if (leads()) {
            ensemble.end(visit.session);
        }
        visit.await(
                leads() ? ensemble.last() : applied,
                () -> {
                    answer(visit, head, null);
                    close(visit);
                });
        visit.reached(applied);
    }

    private void identify(MemberConnection visit, RequestHeader head, AuthPacket auth) {
        if (auth.getScheme().equals("digest")) {
            visit.ids.add(Rules.digest(auth.getAuth()));
            answer(visit, head, null);
        } else {
            visit.answer(head.getXid(), applied, Code.AUTHFAILED.intValue(), null);
            close(visit);
        }
    }

    /** After a reconnect: what was missed is told now, and watches stand for the rest. */
    private void watchAgain(MemberConnection visit, SetWatches2 set) {
        long since = set.getRelativeZxid();
        for (String path : set.getDataWatches()) {
            Tree.Node node = tree.node(path);
            again(
                    visit,
                    Kind.DATA,
                    path,
                    node == null
                            ? EventType.NodeDeleted
                            : node.stat().getMzxid() > since ? EventType.NodeDataChanged : null);
        }
        for (String path : set.getExistWatches()) {
            again(visit, Kind.DATA, path, tree.node(path) == null ? null : EventType.NodeCreated);
        }
        for (String path : set.getChildWatches()) {
            Tree.Node node = tree.node(path);
            again(
                    visit,
                    Kind.CHILDREN,
                    path,
                    node == null
                            ? EventType.NodeDeleted
                            : node.stat().getPzxid() > since
                                    ? EventType.NodeChildrenChanged
                                    : null);
        }
        set.getPersistentWatches().forEach(path -> visit.watches.add(Kind.PERSISTENT, path));
        set.getPersistentRecursiveWatches()
                .forEach(path -> visit.watches.add(Kind.RECURSIVE, path));
    }

    private static void again(MemberConnection visit, Kind kind, String path, EventType missed) {
        if (missed == null) {
            visit.watches.add(kind, path);
        } else {
            tell(visit, missed, path, EVENT);
        }
    }

    private static void unwatch(MemberConnection visit, String path, int type, boolean end)
            throws KeeperException {
        if (!visit.watches.find(path, WatcherType.fromInt(type), end)) {
            throw KeeperException.create(Code.NOWATCHER, path);
        }
    }
}
