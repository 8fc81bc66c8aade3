package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;

/** One node: the data last read, and what was notified since. Not thread-safe. */
final class TrackedNode {
    /** The time of an event that has not happened. */
    static final long NEVER = Long.MAX_VALUE;

    /**
     * Stands for an unknown start. The conversion to the sidecar's clock turns a start in the
     * future into now, so that the server counts as cold. Start 0 would mean long ago, which is
     * warm.
     */
    private static final long MAX_START_UNIX_MILLIS = 7_258_118_400_000L;

    final String name;

    /** The data last read; null if never read. */
    private NodeData data;

    private long startedMillis;

    /** The start as the data state it; {@link #startedMillis} may differ. */
    private long statedStartMillis;

    long czxid;
    long mzxid;

    /** Whether a change was notified whose data are not read yet. */
    boolean readPending;

    long pendingZxid;
    long pendingSinceNanos = NEVER;

    /** When its creation or a change was last notified. */
    long notifiedAtNanos = Long.MIN_VALUE;

    /** Whether the read of a change is overdue: the server may be draining. */
    boolean readOverdue;

    boolean unreadable;

    /** When it was deleted; {@link #NEVER} while it exists. */
    long deletedAtNanos = NEVER;

    long deletedZxid;

    /** Processes started until then have ended by the registry; {@link Long#MIN_VALUE} for none. */
    private long endedStartMillis = Long.MIN_VALUE;

    /** Whether a process that started later was listed at its address, so that it has ended. */
    private boolean displaced;

    /** Whether it is of a history that the ensemble has lost; it may be created again. */
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

    /** Returns the id of its server in all sources; null if it was never read. */
    String id() {
        return data == null ? null : data.uid() == null ? name : data.uid();
    }

    long startedMillis() {
        return startedMillis;
    }

    /**
     * Handles the end of a process with this id in the registry. Unless both sources state a start,
     * the creation time of the node does not show which process is meant, and it is taken to be the
     * node's.
     *
     * @param registryStartMillis the start of the process; 0 if the registry does not state it
     */
    void onRegistryEnd(long registryStartMillis) {
        boolean comparable = statedStartMillis > 0 && registryStartMillis > 0;
        endedStartMillis =
                Math.max(
                        endedStartMillis,
                        comparable
                                ? registryStartMillis + RegistryState.SAME_START_TOLERANCE_MILLIS
                                : startedMillis);
    }

    void onRegistryListing() {
        endedStartMillis = Long.MIN_VALUE;
    }

    void markDisplaced() {
        displaced = true;
    }

    /** Whether its process was displaced from its address, or has ended by the registry. */
    boolean isEnded() {
        return displaced || endedStartMillis >= startedMillis;
    }

    /** Returns the highest known transaction of the node. */
    long latestZxid() {
        return Math.max(Math.max(czxid, mzxid), readPending ? pendingZxid : 0);
    }

    /** Applies a read. */
    void update(NodeRead read) {
        readPending = false;
        readOverdue = false;
        deletedAtNanos = NEVER;
        fromLostHistory = false;
        if (read.czxid() > czxid) {
            // Created again, by a running process.
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
     * Returns the effective start. A process that was restarted after its clock had stepped back
     * states a start before the known one and would be taken for the old process; then the node's
     * creation time counts.
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

    /** Returns the server as an endpoint of the list. */
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
