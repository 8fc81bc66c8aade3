package appleridge.testbed.invariants;

import java.util.List;

/**
 * How loaded the sidecars' processes are, as anyone sees from outside who looks at what they use.
 */
public interface LoopLoad {
    /**
     * Whiles in which a sidecar's loop always had something to do, in order; the last may go on
     * yet.
     */
    List<Span> busy(String sidecar);
}
