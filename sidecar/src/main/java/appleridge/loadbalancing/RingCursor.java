package appleridge.loadbalancing;

import java.util.List;

/** A part of the hosts of a {@link HostRing}, and the position of the next turn in it. */
final class RingCursor {
    private List<TrackedHost> hosts = List.of();
    private int position;

    /** Replaces the hosts and keeps the position, as far as the number of hosts allows. */
    void setHosts(List<TrackedHost> hosts) {
        this.hosts = hosts;
        position = hosts.isEmpty() ? 0 : position % hosts.size();
    }

    void reset() {
        position = 0;
    }

    int size() {
        return hosts.size();
    }

    /** Index of the host whose turn is next; 0 if there are no hosts. */
    int position() {
        return position;
    }

    TrackedHost host(int index) {
        return hosts.get(index);
    }

    /** Moves the position to the host after this index. */
    void advancePast(int index) {
        position = (index + 1) % hosts.size();
    }
}
