package appleridge.testbed.invariants;

import java.util.List;

/** How busy the event loops of the sidecars are, as seen from outside. */
public interface LoopLoad {
    /**
     * Returns the spans in which a sidecar's loop always had work, in order; the last may still
     * continue.
     */
    List<Span> busy(String sidecar);
}
