package appleridge.request;

import appleridge.loadbalancing.LoadBalancingPolicy;
import java.util.function.Consumer;

/**
 * Hands events to the load-balancing policy, one at a time. The policy is never entered again from
 * within one of its own actions: such an event runs as soon as the current one is over. An error in
 * the policy is logged and leaves the event loop running. Event loop only.
 */
final class PolicyInvoker {
    private final Scheduler scheduler;
    private final EventLog log;

    /** Null before {@link #host}. */
    private LoadBalancingPolicy policy;

    private boolean inPolicy;

    PolicyInvoker(Scheduler scheduler, EventLog log) {
        this.scheduler = scheduler;
        this.log = log;
    }

    /** To be called once, before the first event: the policy is made with actions that use this. */
    void host(LoadBalancingPolicy its) {
        policy = its;
    }

    /** Runs an event now, or after the one that runs now. Never throws what the policy throws. */
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
