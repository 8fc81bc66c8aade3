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
 * One history of changes that several members share, its sessions, and which members have a quorum.
 * What no member of a new quorum remembers never was. Pure: bytes go in and out at the members,
 * time comes from outside, and all of it lives on one thread.
 */
final class Ensemble {
    /** What was changed together, and when; its place in the list is its transaction's number. */
    record Entry(long at, long unixMillis, List<Change> changes) {}

    /** Nanoseconds that never run back, and what they are in Unix time. */
    record Time(LongSupplier nanos, LongUnaryOperator unixMillis) {}

    private static final Tree.NodeListener NO_LISTENER = (what, path, acl) -> {};
    private static final int NANOS = 1_000_000;
    private static final int ID_BITS = 16;

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

    /** With so many members, none of which is up. */
    Ensemble(CoordinationServer.Times times, Time time, int size) {
        this.times = times;
        this.time = time;
        // 0 is nobody's; and no other life's session may be taken for one of this.
        this.lastTick = now();
        this.nextSession = (unixMillis() << ID_BITS) + 1;
        for (int i = 0; i < size; i++) {
            members.add(new Member(this));
        }
    }

    /** Another one of one member with what this one holds now; nothing is shared from then on. */
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

    /** The last transaction. */
    long lastZxid() {
        return log.size();
    }

    Entry entry(long zxid) {
        return log.get((int) zxid - 1);
    }

    /** What is told of sessions that there are. */
    Map<Long, Integer> sessions() {
        return head.sessions();
    }

    boolean inQuorum(Member member) {
        return quorum.contains(member);
    }

    /** What a member holds that has applied all up to there. */
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

    /** Cuts these members off from the others, but not from one another. */
    void partition(List<Member> apart) {
        members.forEach(each -> each.setApart(apart.contains(each)));
        regroup();
    }

    /** Finds out anew who has a quorum, after a member came, went or was cut off. */
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

    /** All after this never was; and sessions have their whole time again. */
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
     * Ends sessions whose time is over; called at each tick. A stand-still of its own is no
     * client's.
     */
    void tick() {
        long now = now();
        long stall = now - lastTick - times.tickMillis() * (long) NANOS;
        lastTick = now;
        if (stall > times.tickMillis() * (long) NANOS) {
            // Danger: what clients said meanwhile waits unread, and would count as their silence.
            expiresAt.replaceAll((session, at) -> at + stall);
        }
        if (!quorum.isEmpty() && !expirySuspended) {
            List<Long> over = new ArrayList<>();
            expiresAt.forEach(
                    (session, at) -> {
                        if (at - now < 0) {
                            over.add(session);
                        }
                    });
            over.stream().sorted().forEach(this::closeSession);
        }
        members.forEach(Member::catchUp);
    }

    /** From now on no session ends by itself, or each does again after its whole time. */
    void suspendExpiry(boolean isSuspended) {
        expirySuspended = isSuspended;
        List.copyOf(timeouts.keySet()).forEach(this::touch);
    }

    /** Begins a session, and returns it. */
    long openSession(int timeout, MemberConnection owner) {
        long session = nextSession++;
        append(List.of(new Change.OpenSession(session, timeout)), true);
        owners.put(session, owner);
        touch(session, timeout);
        return session;
    }

    /** Whether a session is there; it is this connection's then, with this time-out. */
    boolean resumeSession(long session, int timeout, MemberConnection owner) {
        boolean there = head.sessions().containsKey(session);
        if (there) {
            owners.put(session, owner);
            touch(session, timeout);
        }
        return there;
    }

    /** Something was heard of a session. */
    void touch(long session) {
        Integer timeout = timeouts.get(session);
        if (timeout != null) {
            touch(session, timeout);
        }
    }

    private void touch(long session, int timeout) {
        timeouts.put(session, timeout);
        expiresAt.put(session, now() + (long) timeout * NANOS);
    }

    int grantedTimeout(int requested) {
        return Math.max(times.leastSessionMillis(), Math.min(times.mostSessionMillis(), requested));
    }

    /** Ends a session; false if there is none such, or nobody who could. */
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

    /** Does all of it or nothing. One result for each; of those that failed, an error. */
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
