package appleridge.loadbalancing;

import java.util.List;

/** A part of the {@link HostRing} and the position from which the next turn is taken. */
final class RingCursor {
    private List<TrackedHost> hosts = List.of();
    private int position;

    /** Continues over other hosts from about the same position. */
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

    /** Index of the pointed host; 0 if there is none. */
    int position() {
        return position;
    }

    TrackedHost host(int index) {
        return hosts.get(index);
    }

    /** The next turn begins behind this index. */
    void advancePast(int index) {
        position = (index + 1) % hosts.size();
    }
}
