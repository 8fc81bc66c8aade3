package appleridge.request;

import appleridge.loadbalancing.LoadBalancingPolicy;
import java.util.function.Consumer;

/**
 * Passes events to the load-balancing policy, one at a time. The policy is not re-entered: an event
 * that arises within one of its own actions runs after the current event. An exception that the
 * policy throws is logged and leaves the event loop running. Event loop only.
 */
final class PolicyInvoker {
    private final Scheduler scheduler;
    private final EventLog log;

    /** Null before {@link #setPolicy}. */
    private LoadBalancingPolicy policy;

    private boolean inPolicy;

    PolicyInvoker(Scheduler scheduler, EventLog log) {
        this.scheduler = scheduler;
        this.log = log;
    }

    /**
     * Sets the policy; to be called once, before the first event. It is no constructor parameter
     * because the policy's actions depend on this invoker.
     */
    void setPolicy(LoadBalancingPolicy policy) {
        this.policy = policy;
    }

    /**
     * Runs an event now, or after the current event if there is one. Exceptions of the policy are
     * not propagated.
     */
    void notify(Consumer<LoadBalancingPolicy> event) {
        if (inPolicy) {
            scheduler.execute(() -> notify(event));
            return;
        }
        inPolicy = true;
        try {
            event.accept(policy);
        } catch (RuntimeException e) {
            log.failure("the load-balancing policy failed", e);
        } finally {
            inPolicy = false;
        }
    }
}
