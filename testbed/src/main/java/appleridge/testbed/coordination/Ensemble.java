package appleridge.testbed.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.OpResult;

/**
 * The replicated log of an ensemble, its sessions, and the members that belong to the quorum. When
 * a new quorum forms, log entries that none of its members remembers are discarded. Free of I/O:
 * bytes enter and leave through the members and the caller supplies the time. Not thread-safe.
 */
final class Ensemble {
    /**
     * A transaction: changes that are applied together. Its index in the log plus one is its zxid.
     */
    record Entry(long at, long unixMillis, List<Change> changes) {}

    /** A monotonic clock in nanoseconds, and its conversion to Unix time in milliseconds. */
    record Time(LongSupplier nanos, LongUnaryOperator unixMillis) {}

    private static final Tree.NodeListener NO_LISTENER = (what, path, acl) -> {};
    private static final int NANOS_PER_MILLI = 1_000_000;
    private static final int SESSION_COUNTER_BITS = 16;

    private final CoordinationServer.Times times;
    private final Time time;
    private final List<Member> members = new ArrayList<>();
    private final List<Entry> log = new ArrayList<>();
    private final List<Member> quorum = new ArrayList<>();
    private final Map<Long, Integer> timeouts = new HashMap<>();
    private final Map<Long, Long> expiresAt = new HashMap<>();
    private final Map<Long, MemberConnection> owners = new HashMap<>();
    private Tree head = new Tree();
    private long nextSession;
    private long lastTick;
    private boolean expirySuspended;

    /** Creates an ensemble of {@code size} members that are all down. */
    Ensemble(CoordinationServer.Times times, Time time, int size) {
        this.times = times;
        this.time = time;
        this.lastTick = now();
        // Session id 0 means no session. Ids contain the start time, so that an id from before a
        // restart never names a session of this run.
        this.nextSession = (unixMillis() << SESSION_COUNTER_BITS) + 1;
        for (int i = 0; i < size; i++) {
            members.add(new Member(this));
        }
    }

    /** Returns an independent ensemble of one member with a copy of this log. */
    Ensemble copy() {
        Ensemble copy = new Ensemble(times, time, 1);
        copy.log.addAll(log);
        copy.members.get(0).remembers(log.size());
        copy.truncate(log.size());
        return copy;
    }

    List<Member> members() {
        return Collections.unmodifiableList(members);
    }

    long now() {
        return time.nanos.getAsLong();
    }

    /** The zxid of the last transaction; 0 if there is none. */
    long lastZxid() {
        return log.size();
    }

    Entry entry(long zxid) {
        return log.get((int) zxid - 1);
    }

    /** The open sessions with their granted time-outs in milliseconds. */
    Map<Long, Integer> sessions() {
        return head.sessions();
    }

    boolean inQuorum(Member member) {
        return quorum.contains(member);
    }

    /** Returns the state after all transactions up to and including {@code zxid}. */
    Tree replay(long zxid) {
        Tree tree = new Tree();
        for (int i = 1; i <= zxid; i++) {
            apply(tree, i, NO_LISTENER);
        }
        return tree;
    }

    void apply(Tree tree, long zxid, Tree.NodeListener listener) {
        Entry entry = entry(zxid);
        Tree.Stamp stamp = new Tree.Stamp(zxid, entry.unixMillis());
        entry.changes().forEach(each -> tree.apply(each, stamp, listener));
    }

    /** Partitions the ensemble into these members and the others. */
    void partition(List<Member> apart) {
        members.forEach(each -> each.setApart(apart.contains(each)));
        regroup();
    }

    /** Recomputes the quorum after a member started, stopped or changed its side of a partition. */
    void regroup() {
        List<Member> next = members.stream().filter(this::reachesMajority).toList();
        boolean quorumFormed = quorum.isEmpty() && !next.isEmpty();
        List<Member> leaving = quorum.stream().filter(each -> !next.contains(each)).toList();
        List<Member> joining = next.stream().filter(each -> !quorum.contains(each)).toList();
        quorum.removeAll(leaving);
        leaving.forEach(Member::leaveQuorum);
        if (quorumFormed) {
            truncate(next.stream().mapToLong(Member::remembered).max().orElse(0));
        }
        quorum.addAll(joining);
        joining.forEach(Member::joinQuorum);
    }

    private boolean reachesMajority(Member member) {
        long reached =
                members.stream()
                        .filter(other -> other.up() && other.apart() == member.apart())
                        .count();
        return member.up() && 2 * reached > members.size();
    }

    /** Discards all transactions after {@code zxid} and restarts the time-outs of all sessions. */
    private void truncate(long zxid) {
        log.subList((int) zxid, log.size()).clear();
        members.forEach(each -> each.remembers(Math.min(each.remembered(), zxid)));
        head = replay(zxid);
        owners.clear();
        timeouts.clear();
        expiresAt.clear();
        head.sessions().forEach(this::touch);
    }

    /**
     * Expires sessions that have timed out; called at each tick. A stall of this process does not
     * count as silence of its clients.
     */
    void tick() {
        long now = now();
        long stall = now - lastTick - times.tickMillis() * (long) NANOS_PER_MILLI;
        lastTick = now;
        if (stall > times.tickMillis() * (long) NANOS_PER_MILLI) {
            // Messages that clients sent during the stall are still unread; without this
            // extension their sessions would expire although the clients were not silent.
            expiresAt.replaceAll((session, at) -> at + stall);
        }
        if (!quorum.isEmpty() && !expirySuspended) {
            List<Long> expired = new ArrayList<>();
            expiresAt.forEach(
                    (session, at) -> {
                        if (at - now < 0) {
                            expired.add(session);
                        }
                    });
            expired.stream().sorted().forEach(this::closeSession);
        }
        members.forEach(Member::catchUp);
    }

    /** Suspends the expiry of sessions, or resumes it with the full time-out of each session. */
    void suspendExpiry(boolean isSuspended) {
        expirySuspended = isSuspended;
        List.copyOf(timeouts.keySet()).forEach(this::touch);
    }

    /** Opens a session and returns its id. */
    long openSession(int timeout, MemberConnection owner) {
        long session = nextSession++;
        append(List.of(new Change.OpenSession(session, timeout)), true);
        owners.put(session, owner);
        touch(session, timeout);
        return session;
    }

    /** Moves a session to this connection and time-out; returns false if it does not exist. */
    boolean resumeSession(long session, int timeout, MemberConnection owner) {
        boolean exists = head.sessions().containsKey(session);
        if (exists) {
            owners.put(session, owner);
            touch(session, timeout);
        }
        return exists;
    }

    /** Restarts the time-out of a session after a message from its client. */
    void touch(long session) {
        Integer timeout = timeouts.get(session);
        if (timeout != null) {
            touch(session, timeout);
        }
    }

    private void touch(long session, int timeout) {
        timeouts.put(session, timeout);
        expiresAt.put(session, now() + (long) timeout * NANOS_PER_MILLI);
    }

    int grantedTimeout(int requested) {
        return Math.max(times.minSessionMillis(), Math.min(times.maxSessionMillis(), requested));
    }

    /** Closes a session; returns false if it does not exist or there is no quorum. */
    boolean closeSession(long session) {
        if (quorum.isEmpty() || !head.sessions().containsKey(session)) {
            return false;
        }
        append(List.of(new Change.CloseSession(session)), true);
        timeouts.remove(session);
        expiresAt.remove(session);
        owners.remove(session);
        members.forEach(Member::catchUp);
        return true;
    }

    /**
     * Applies all operations or none. Returns one result for each operation; if one fails, all
     * results are errors, as in the ZooKeeper protocol.
     */
    List<OpResult> write(List<Rules.Operation> requested, MemberConnection connection)
            throws KeeperException {
        if (!head.sessions().containsKey(connection.session)) {
            throw KeeperException.create(Code.SESSIONEXPIRED);
        }
        if (owners.get(connection.session) != connection) {
            throw KeeperException.create(Code.SESSIONMOVED);
        }
        List<Change> changes = new ArrayList<>();
        List<Runnable> undo = new ArrayList<>();
        List<OpResult> results = new ArrayList<>();
        Tree.Stamp stamp = new Tree.Stamp(lastZxid() + 1, unixMillis());
        for (Rules.Operation each : requested) {
            try {
                Change change = Rules.change(head, each, connection.caller());
                changes.add(change);
                undo.add(head.apply(change, stamp, NO_LISTENER));
                results.add(Rules.result(head, each, change));
            } catch (KeeperException e) {
                Collections.reverse(undo);
                undo.forEach(Runnable::run);
                return failed(requested.size(), results.size(), e.code());
            }
        }
        append(changes, false);
        members.forEach(Member::catchUp);
        return results;
    }

    private static List<OpResult> failed(int size, int at, Code why) {
        List<OpResult> results = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Code code = i < at ? Code.OK : i == at ? why : Code.RUNTIMEINCONSISTENCY;
            results.add(new OpResult.ErrorResult(code.intValue()));
        }
        return results;
    }

    private long unixMillis() {
        return time.unixMillis.applyAsLong(now());
    }

    private void append(List<Change> changes, boolean applyToHead) {
        log.add(new Entry(now(), unixMillis(), List.copyOf(changes)));
        if (applyToHead) {
            apply(head, lastZxid(), NO_LISTENER);
        }
    }
}
