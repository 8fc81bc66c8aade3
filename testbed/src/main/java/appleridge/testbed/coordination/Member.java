package appleridge.testbed.coordination;

import appleridge.testbed.coordination.Rules.Operation;
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
 * One member of an ensemble: its copy of the tree, which may lag behind the log, and its client
 * connections. Free of I/O: frames go in and out.
 */
final class Member {
    /** A lag at which the member applies no changes. */
    static final long LAG_FOREVER = Long.MAX_VALUE;

    private static final int NOTIFICATION_XID = -1;
    private static final long NO_ZXID = -1;
    private static final int PASSWORD_BYTES = 16;
    private static final long PASSWORD_SEED = 0x61707072;

    private final Ensemble ensemble;
    private final Set<MemberConnection> connections = new LinkedHashSet<>();
    private final Map<Integer, Long> requestCounts = new TreeMap<>();
    private Tree tree = new Tree();
    private long applied;
    private long remembered;
    private long lag;
    private boolean apart;
    private boolean up;
    private boolean readOnly;
    private boolean hung;
    private int breakOnType;
    private boolean breakAfterApplying;
    private long nextLocalSession = 1;

    Member(Ensemble ensemble) {
        this.ensemble = ensemble;
    }

    /** Starts or stops the member; its log stays. */
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

    /** Puts the member on one side of a partition; the two sides cannot reach each other. */
    void setApart(boolean isApart) {
        apart = isApart;
    }

    boolean apart() {
        return apart;
    }

    /**
     * Sets the last transaction of the log that the member keeps. Call only while it is not in the
     * quorum.
     */
    void remembers(long zxid) {
        remembered = zxid;
    }

    long remembered() {
        return remembered;
    }

    /**
     * Applies changes this many nanoseconds after their commit; with {@link #LAG_FOREVER} applies
     * none.
     */
    void lag(long nanos) {
        lag = nanos;
        catchUp();
    }

    /** Whether read-only clients may connect while there is no quorum. */
    void readOnly(boolean isAllowed) {
        readOnly = isAllowed;
    }

    /**
     * While hung, the member answers only pings and new connections and queues other requests; it
     * processes the queue when it resumes.
     */
    void hung(boolean isHung) {
        hung = isHung;
        List.copyOf(connections).forEach(this::processQueued);
    }

    /**
     * Closes the connection of the next request of this type without a response, after applying the
     * request if {@code done}, otherwise without applying it.
     */
    void breakNext(int type, boolean done) {
        breakOnType = type;
        breakAfterApplying = done;
    }

    long applied() {
        return applied;
    }

    Map<Integer, Long> requestCounts() {
        return new TreeMap<>(requestCounts);
    }

    void joinQuorum() {
        closeAll();
        remembered = ensemble.lastZxid();
        applied = remembered;
        tree = ensemble.replay(applied);
    }

    void leaveQuorum() {
        closeAll();
        remembered = ensemble.lastZxid();
    }

    private void closeAll() {
        List.copyOf(connections).forEach(this::close);
    }

    private void close(MemberConnection connection) {
        closed(connection);
        connection.close();
    }

    private boolean inQuorum() {
        return ensemble.inQuorum(this);
    }

    /** Applies the changes that are due, then answers the requests that waited for them. */
    void catchUp() {
        while (inQuorum()
                && lag != LAG_FOREVER
                && applied < ensemble.lastZxid()
                && ensemble.entry(applied + 1).at() + lag - ensemble.now() <= 0) {
            applied++;
            ensemble.apply(tree, applied, this::notify);
            for (Change each : ensemble.entry(applied).changes()) {
                if (each instanceof Change.CloseSession end) {
                    connections.stream()
                            .filter(
                                    connection ->
                                            connection.session == end.session()
                                                    && !connection.closing)
                            .toList()
                            .forEach(this::close);
                }
            }
        }
        for (MemberConnection connection : List.copyOf(connections)) {
            connection.appliedUpTo(applied);
            processQueued(connection);
        }
    }

    private void notify(EventType what, String path, List<ACL> acl) {
        for (MemberConnection connection : List.copyOf(connections)) {
            if (connection.watches.notifies(what, path)
                    && Rules.allows(acl, Perms.READ, connection.caller())) {
                notify(connection, what, path, applied);
            }
        }
    }

    private static void notify(
            MemberConnection connection, EventType what, String path, long zxid) {
        connection.answer(
                NOTIFICATION_XID,
                zxid,
                0,
                new WatcherEvent(
                        what.getIntValue(), KeeperState.SyncConnected.getIntValue(), path));
    }

    /** A connection was opened. */
    void opened(MemberConnection connection) {
        connections.add(connection);
    }

    /** A connection was closed. */
    void closed(MemberConnection connection) {
        connections.remove(connection);
    }

    /**
     * Receives a frame without its length prefix; an empty one asks whether the member is
     * read-only.
     */
    void received(MemberConnection connection, byte[] frame) {
        if (!connections.contains(connection)) {
            return;
        }
        if (frame.length == 0) {
            connection.send((inQuorum() ? "rw" : "ro").getBytes(StandardCharsets.US_ASCII));
            close(connection);
        } else if (!connection.handshakeReceived) {
            handshake(connection, new Wire.In(frame).read(new ConnectRequest()));
        } else {
            RequestHeader head = new Wire.In(frame).read(new RequestHeader());
            requestCounts.merge(head.getType(), 1L, Long::sum);
            if (inQuorum()) {
                ensemble.touch(connection.session);
            }
            if (head.getType() == OpCode.ping) {
                connection.answer(head.getXid(), applied, 0, null);
            } else {
                connection.queuedFrames.add(frame);
                processQueued(connection);
            }
        }
    }

    /**
     * Processes queued requests in order until one has to wait for the member to apply a change.
     */
    private void processQueued(MemberConnection connection) {
        if (connection.busy) {
            return;
        }
        connection.busy = true;
        while (!hung
                && !connection.hasPending()
                && !connection.queuedFrames.isEmpty()
                && connections.contains(connection)) {
            process(connection, connection.queuedFrames.remove());
        }
        connection.busy = false;
    }

    private void handshake(MemberConnection connection, ConnectRequest request) {
        connection.handshakeReceived = true;
        if (!inQuorum() && !(readOnly && request.getReadOnly())
                || request.getLastZxidSeen() > applied) {
            close(connection);
            return;
        }
        int timeout = ensemble.grantedTimeout(request.getTimeOut());
        if (request.getSessionId() == 0) {
            requestCounts.merge(OpCode.createSession, 1L, Long::sum);
            connection.session =
                    inQuorum() ? ensemble.openSession(timeout, connection) : nextLocalSession++;
            connection.answerAt(
                    inQuorum() ? ensemble.lastZxid() : applied,
                    () -> sendConnectResponse(connection, timeout));
            ensemble.members().forEach(Member::catchUp);
        } else if (Arrays.equals(request.getPasswd(), password(request.getSessionId()))
                && (inQuorum()
                        ? ensemble.resumeSession(request.getSessionId(), timeout, connection)
                        : tree.sessions().containsKey(request.getSessionId()))) {
            connections.stream()
                    .filter(old -> old.session == request.getSessionId())
                    .toList()
                    .forEach(this::close);
            connection.session = request.getSessionId();
            sendConnectResponse(connection, timeout);
        } else {
            connection.send(
                    Wire.frame(new ConnectResponse(0, 0, 0, new byte[PASSWORD_BYTES], false)));
            close(connection);
        }
    }

    private void sendConnectResponse(MemberConnection connection, int timeout) {
        connection.send(
                Wire.frame(
                        new ConnectResponse(
                                0,
                                timeout,
                                connection.session,
                                password(connection.session),
                                !inQuorum())));
    }

    private static byte[] password(long session) {
        byte[] password = new byte[PASSWORD_BYTES];
        new Random(session ^ PASSWORD_SEED).nextBytes(password);
        return password;
    }

    private void process(MemberConnection connection, byte[] frame) {
        Wire.In in = new Wire.In(frame);
        RequestHeader head = in.read(new RequestHeader());
        boolean breaks = breakOnType != 0 && head.getType() == breakOnType;
        if (breaks) {
            breakOnType = 0;
            connection.mute();
        }
        try {
            if (!breaks || breakAfterApplying) {
                process(connection, head, in);
            }
        } catch (KeeperException.SessionMovedException
                | UncheckedIOException
                | IllegalArgumentException e) {
            // A malformed request, or a session that moved, closes only its own connection, also
            // when another client's request triggered the processing.
            close(connection);
        } catch (KeeperException e) {
            connection.answer(head.getXid(), applied, e.code().intValue(), null);
        }
        if (breaks) {
            close(connection);
        }
    }

    private void process(MemberConnection connection, RequestHeader head, Wire.In in)
            throws KeeperException {
        switch (head.getType()) {
            case OpCode.create, OpCode.create2 ->
                    write(connection, head, in.read(new CreateRequest()));
            case OpCode.delete -> write(connection, head, in.read(new DeleteRequest()));
            case OpCode.setData -> write(connection, head, in.read(new SetDataRequest()));
            case OpCode.setACL -> write(connection, head, in.read(new SetACLRequest()));
            case OpCode.check -> write(connection, head, in.read(new CheckVersionRequest()));
            case OpCode.multi -> multi(connection, head, in.read(new MultiOperationRecord()));
            case OpCode.multiRead ->
                    answer(
                            connection,
                            head,
                            multiRead(connection, in.read(new MultiOperationRecord())));
            case OpCode.sync -> {
                requireQuorum();
                SyncRequest sync = in.read(new SyncRequest());
                answerOnceApplied(connection, head, new SyncResponse(sync.getPath()));
            }
            case OpCode.closeSession -> closeSession(connection, head);
            case OpCode.auth -> authenticate(connection, head, in.read(new AuthPacket()));
            case OpCode.setWatches -> {
                SetWatches set = in.read(new SetWatches());
                restoreWatches(
                        connection,
                        new SetWatches2(
                                set.getRelativeZxid(),
                                set.getDataWatches(),
                                set.getExistWatches(),
                                set.getChildWatches(),
                                List.of(),
                                List.of()));
                answer(connection, head, null);
            }
            case OpCode.setWatches2 -> {
                restoreWatches(connection, in.read(new SetWatches2()));
                answer(connection, head, null);
            }
            case OpCode.addWatch -> {
                AddWatchRequest add = in.read(new AddWatchRequest());
                connection.watches.add(
                        add.getMode() == AddWatchModes.persistent
                                ? Kind.PERSISTENT
                                : Kind.RECURSIVE,
                        add.getPath());
                answer(connection, head, new ErrorResponse(0));
            }
            case OpCode.removeWatches -> {
                RemoveWatchesRequest remove = in.read(new RemoveWatchesRequest());
                removeWatches(connection, remove.getPath(), remove.getType(), true);
                answer(connection, head, null);
            }
            case OpCode.checkWatches -> {
                CheckWatchesRequest check = in.read(new CheckWatchesRequest());
                removeWatches(connection, check.getPath(), check.getType(), false);
                answer(connection, head, null);
            }
            default -> answer(connection, head, read(connection, head.getType(), in));
        }
    }

    private void answer(MemberConnection connection, RequestHeader head, Record record) {
        connection.answer(head.getXid(), applied, 0, record);
    }

    /** Answers once the member has applied the whole current log. */
    private void answerOnceApplied(MemberConnection connection, RequestHeader head, Record record) {
        long zxid = ensemble.lastZxid();
        connection.answerAt(zxid, () -> connection.answer(head.getXid(), zxid, 0, record));
        connection.appliedUpTo(applied);
    }

    private void requireQuorum() throws KeeperException {
        if (!inQuorum()) {
            throw KeeperException.create(Code.NOTREADONLY);
        }
    }

    private Record read(MemberConnection connection, int type, Wire.In in) throws KeeperException {
        switch (type) {
            case OpCode.exists -> {
                ExistsRequest request = in.read(new ExistsRequest());
                watch(connection, request.getWatch(), Kind.DATA, request.getPath());
                return new ExistsResponse(Rules.stat(tree, request.getPath()));
            }
            case OpCode.getData -> {
                GetDataRequest request = in.read(new GetDataRequest());
                Tree.Node node =
                        Rules.permitted(tree, request.getPath(), Perms.READ, connection.caller());
                watch(connection, request.getWatch(), Kind.DATA, request.getPath());
                return new GetDataResponse(node.data(), node.stat());
            }
            case OpCode.getChildren, OpCode.getChildren2 -> {
                GetChildrenRequest request = in.read(new GetChildrenRequest());
                Tree.Node node =
                        Rules.permitted(tree, request.getPath(), Perms.READ, connection.caller());
                watch(connection, request.getWatch(), Kind.CHILDREN, request.getPath());
                return type == OpCode.getChildren
                        ? new GetChildrenResponse(node.children())
                        : new GetChildren2Response(node.children(), node.stat());
            }
            case OpCode.getACL -> {
                GetACLRequest request = in.read(new GetACLRequest());
                Tree.Node node =
                        Rules.permitted(
                                tree,
                                request.getPath(),
                                Perms.READ | Perms.ADMIN,
                                connection.caller());
                return new GetACLResponse(Rules.visibleAcl(node, connection.caller()), node.stat());
            }
            default -> throw KeeperException.create(Code.UNIMPLEMENTED);
        }
    }

    private static void watch(MemberConnection connection, boolean wanted, Kind kind, String path) {
        if (wanted) {
            connection.watches.add(kind, path);
        }
    }

    private Record multiRead(MemberConnection connection, MultiOperationRecord many) {
        MultiResponse response = new MultiResponse();
        for (Op each : many) {
            try {
                Tree.Node node =
                        Rules.permitted(tree, each.getPath(), Perms.READ, connection.caller());
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

    private void write(MemberConnection connection, RequestHeader head, Record request)
            throws KeeperException {
        requireQuorum();
        OpResult result =
                ensemble.write(List.of(new Operation(head.getType(), request)), connection).get(0);
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
        answerOnceApplied(connection, head, response);
    }

    private void multi(MemberConnection connection, RequestHeader head, MultiOperationRecord many)
            throws KeeperException {
        requireQuorum();
        List<Operation> all = new ArrayList<>();
        for (Op each : many) {
            all.add(new Operation(each.getType(), each.toRequestRecord()));
        }
        MultiResponse response = new MultiResponse();
        ensemble.write(all, connection).forEach(response::add);
        answerOnceApplied(connection, head, response);
    }

    private void closeSession(MemberConnection connection, RequestHeader head) {
        connection.closing = true;
        if (inQuorum()) {
            ensemble.closeSession(connection.session);
        }
        connection.answerAt(
                inQuorum() ? ensemble.lastZxid() : applied,
                () -> {
                    answer(connection, head, null);
                    close(connection);
                });
        connection.appliedUpTo(applied);
    }

    private void authenticate(MemberConnection connection, RequestHeader head, AuthPacket auth) {
        if (auth.getScheme().equals("digest")) {
            connection.ids.add(Rules.digest(auth.getAuth()));
            answer(connection, head, null);
        } else {
            connection.answer(head.getXid(), applied, Code.AUTHFAILED.intValue(), null);
            close(connection);
        }
    }

    /**
     * Restores watches after a reconnect. A watch whose node changed while the client was
     * disconnected fires at once; the others are set again.
     */
    private void restoreWatches(MemberConnection connection, SetWatches2 set) {
        long since = set.getRelativeZxid();
        for (String path : set.getDataWatches()) {
            Tree.Node node = tree.node(path);
            restoreWatch(
                    connection,
                    Kind.DATA,
                    path,
                    node == null
                            ? EventType.NodeDeleted
                            : node.stat().getMzxid() > since ? EventType.NodeDataChanged : null);
        }
        for (String path : set.getExistWatches()) {
            restoreWatch(
                    connection,
                    Kind.DATA,
                    path,
                    tree.node(path) == null ? null : EventType.NodeCreated);
        }
        for (String path : set.getChildWatches()) {
            Tree.Node node = tree.node(path);
            restoreWatch(
                    connection,
                    Kind.CHILDREN,
                    path,
                    node == null
                            ? EventType.NodeDeleted
                            : node.stat().getPzxid() > since
                                    ? EventType.NodeChildrenChanged
                                    : null);
        }
        set.getPersistentWatches().forEach(path -> connection.watches.add(Kind.PERSISTENT, path));
        set.getPersistentRecursiveWatches()
                .forEach(path -> connection.watches.add(Kind.RECURSIVE, path));
    }

    private static void restoreWatch(
            MemberConnection connection, Kind kind, String path, EventType missed) {
        if (missed == null) {
            connection.watches.add(kind, path);
        } else {
            notify(connection, missed, path, NO_ZXID);
        }
    }

    private static void removeWatches(
            MemberConnection connection, String path, int type, boolean end)
            throws KeeperException {
        if (!connection.watches.find(path, WatcherType.fromInt(type), end)) {
            throw KeeperException.create(Code.NOWATCHER, path);
        }
    }
}
