package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;

/** One node: what is known of it, and how sure that is. */
final class TrackedNode {
    /** No such time. */
    static final long NEVER = Long.MAX_VALUE;

    /**
     * A start that nothing is known of is now, to who places it: never long ago, which would be
     * warm.
     */
    private static final long LATEST_START = 7_258_118_400_000L;

    final String name;

    /** As it was last read; null if it never was. */
    private NodeData data;

    private long startedMillis;

    /** What it said of its start, before that was weighed. */
    private long saidMillis;

    long czxid;
    long mzxid;

    /** A change was told whose data has not come. */
    boolean awaited;

    long awaitedZxid;
    long awaitedSince = NEVER;

    /** When it was told last that it was made or changed. */
    long changedAt = Long.MIN_VALUE;

    /** The data is late, and there is no telling what it says. */
    boolean late;

    boolean unreadable;

    /** When it vanished; {@link #NEVER} while it is there. */
    long vanishedAt = NEVER;

    long vanishedZxid;

    /** Latest start that the registry has told the end of; {@link Long#MIN_VALUE} for none. */
    private long endedStart = Long.MIN_VALUE;

    /**
     * A process that began later has been listed at its address, and it can't be there any more.
     */
    private boolean displaced;

    /** Of a history that the ensemble has lost; it may come back. */
    boolean ofOldHistory;

    TrackedNode(String name) {
        this.name = name;
    }

    boolean isThere() {
        return vanishedAt == NEVER;
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
    void registryEnds(long registryStart) {
        boolean comparable = saidMillis > 0 && registryStart > 0;
        endedStart =
                Math.max(
                        endedStart,
                        comparable ? registryStart + RegistryState.SAME_START : startedMillis);
    }

    void registryLists() {
        endedStart = Long.MIN_VALUE;
    }

    void displace() {
        displaced = true;
    }

    /** Whether the process that it stands for can't be there, or the registry has told its end. */
    boolean isEnded() {
        return displaced || endedStart >= startedMillis;
    }

    /** The highest transaction that it is known by. */
    long latestZxid() {
        return Math.max(Math.max(czxid, mzxid), awaited ? awaitedZxid : 0);
    }

    /** Takes over what was read. */
    void take(NodeRead read) {
        awaited = false;
        late = false;
        vanishedAt = NEVER;
        ofOldHistory = false;
        if (read.czxid() > czxid) {
            // Made anew, by a process that is there.
            endedStart = Long.MIN_VALUE;
            displaced = false;
        }
        czxid = Math.max(czxid, read.czxid());
        mzxid = Math.max(mzxid, read.mzxid());
        unreadable = read.data() == null;
        if (!unreadable) {
            displaced &= data != null && data.address().equals(read.data().address());
            startedMillis = start(read);
            saidMillis = read.data().startedMillis();
            data = read.data();
        }
    }

    /**
     * Danger: a process restarted under a clock that had stepped back names a start before the one
     * known, and would be taken for the old one; its node's making is then the better word.
     */
    private long start(NodeRead read) {
        long said = read.data().startedMillis();
        long made =
                read.createdMillis() > 0
                        ? Math.min(read.createdMillis(), LATEST_START)
                        : LATEST_START;
        if (said <= 0) {
            return made;
        }
        if (data == null || said > startedMillis) {
            return Math.min(said, LATEST_START);
        }
        return said == saidMillis ? startedMillis : Math.max(made, startedMillis + 1);
    }

    /** Its server as the list is to have it. */
    DiscoveredEndpoint member() {
        HostState state = isThere() && !late && !unreadable ? data.state() : HostState.DRAINING;
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
