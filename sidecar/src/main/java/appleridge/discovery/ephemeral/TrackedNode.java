package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;

/** One node: its data as read last, and what was notified of it since. Not thread-safe. */
final class TrackedNode {
    /** No such time. */
    static final long NEVER = Long.MAX_VALUE;

    /**
     * A start that nothing is known of is now, to who places it: never long ago, which would be
     * warm.
     */
    private static final long MAX_START_UNIX_MILLIS = 7_258_118_400_000L;

    final String name;

    /** As it was read last; null if it never was. */
    private NodeData data;

    private long startedMillis;

    /** What it said of its start, before that was weighed. */
    private long statedStartMillis;

    long czxid;
    long mzxid;

    /** A change was notified whose data was not read yet. */
    boolean readPending;

    long pendingZxid;
    long pendingSinceNanos = NEVER;

    /** When it was told last that it was made or changed. */
    long notifiedAtNanos = Long.MIN_VALUE;

    /** The data is overdue: the node may be draining. */
    boolean readOverdue;

    boolean unreadable;

    /** When it vanished; {@link #NEVER} while it is there. */
    long deletedAtNanos = NEVER;

    long deletedZxid;

    /** Latest start that the registry has told the end of; {@link Long#MIN_VALUE} for none. */
    private long endedStartMillis = Long.MIN_VALUE;

    /**
     * A process that began later has been listed at its address, and it can't be there any more.
     */
    private boolean displaced;

    /** Of a history that the ensemble has lost; it may come back. */
    boolean fromLostHistory;

    TrackedNode(String name) {
        this.name = name;
    }

    boolean exists() {
        return deletedAtNanos == NEVER;
    }

    boolean wasRead() {
        return data != null;
    }

    /** The id of its server in all sources; null if it never was read. */
    String id() {
        return data == null ? null : data.uid() == null ? name : data.uid();
    }

    long startedMillis() {
        return startedMillis;
    }

    /**
     * The registry has told the end of a process under this id; {@code registryStart} 0: it knows
     * no start. Where the node names none either, its making tells nothing of which process is
     * meant.
     */
    void onRegistryEnd(long registryStart) {
        boolean comparable = statedStartMillis > 0 && registryStart > 0;
        endedStartMillis =
                Math.max(
                        endedStartMillis,
                        comparable
                                ? registryStart + RegistryState.SAME_START_TOLERANCE_MILLIS
                                : startedMillis);
    }

    void onRegistryListing() {
        endedStartMillis = Long.MIN_VALUE;
    }

    void markDisplaced() {
        displaced = true;
    }

    /** Whether the process that it stands for can't be there, or the registry has told its end. */
    boolean isEnded() {
        return displaced || endedStartMillis >= startedMillis;
    }

    /** The highest transaction that it is known by. */
    long latestZxid() {
        return Math.max(Math.max(czxid, mzxid), readPending ? pendingZxid : 0);
    }

    /** Takes over what was read. */
    void update(NodeRead read) {
        readPending = false;
        readOverdue = false;
        deletedAtNanos = NEVER;
        fromLostHistory = false;
        if (read.czxid() > czxid) {
            // Made anew, by a process that is there.
            endedStartMillis = Long.MIN_VALUE;
            displaced = false;
        }
        czxid = Math.max(czxid, read.czxid());
        mzxid = Math.max(mzxid, read.mzxid());
        unreadable = read.data() == null;
        if (!unreadable) {
            displaced &= data != null && data.address().equals(read.data().address());
            startedMillis = resolveStartMillis(read);
            statedStartMillis = read.data().startedMillis();
            data = read.data();
        }
    }

    /**
     * The start to go by. A process that was restarted under a clock that had stepped back names a
     * start before the known one, and would be taken for the old process; the node's creation
     * counts then.
     */
    private long resolveStartMillis(NodeRead read) {
        long statedMillis = read.data().startedMillis();
        long createdMillis =
                read.createdMillis() > 0
                        ? Math.min(read.createdMillis(), MAX_START_UNIX_MILLIS)
                        : MAX_START_UNIX_MILLIS;
        if (statedMillis <= 0) {
            return createdMillis;
        }
        if (data == null || statedMillis > startedMillis) {
            return Math.min(statedMillis, MAX_START_UNIX_MILLIS);
        }
        return statedMillis == statedStartMillis
                ? startedMillis
                : Math.max(createdMillis, startedMillis + 1);
    }

    /** Its server as the list is to have it. */
    DiscoveredEndpoint endpoint() {
        HostState state =
                exists() && !readOverdue && !unreadable ? data.state() : HostState.DRAINING;
        return new DiscoveredEndpoint(
                id(),
                data.address(),
                data.zone(),
                data.kind(),
                data.cell(),
                state,
                data.weight(),
                startedMillis);
    }
}
