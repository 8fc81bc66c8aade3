package appleridge.loadbalancing;

import java.util.Random;

/**
 * Keeps the subscription to endpoint updates alive: subscribes again after a failure, and whenever
 * no update has arrived for half a poll interval. A broken subscription is silent, so only a new
 * one can tell it from an unchanged endpoint list.
 */
final class DiscoveryPoller {
    /** The first backoff is the poll interval divided by this. */
    private static final int FIRST_BACKOFFS_PER_POLL_INTERVAL = 40;

    private final PolicySettings settings;
    private final Random random;
    private final TimerQueue timers;
    private final PolicyActions actions;
    private long backoffNanos;

    /** Identifies the latest scheduled subscription; an increment cancels it. */
    private long generation;

    DiscoveryPoller(
            PolicySettings settings, Random random, TimerQueue timers, PolicyActions actions) {
        this.settings = settings;
        this.random = random;
        this.timers = timers;
        this.actions = actions;
    }

    /** Subscribes, unless the embedder delivers updates without a subscription. */
    void subscribe(long now) {
        if (settings.discoveryMode() == DiscoveryMode.SUBSCRIBED) {
            actions.subscribe(true);
            subscribeAgainAt(now + maxBackoffNanos());
        }
    }

    /**
     * A call to discovery has failed. The last endpoint list stays in force. Subscribes again after
     * a backoff with jitter: without it, sidecars whose calls failed at the same time would all
     * retry at the same time.
     */
    void onFailure(long now) {
        if (backoffNanos == 0) {
            actions.log("discovery failed: the last endpoint list stays in force, polling again");
        }
        long minBackoffNanos =
                Math.max(
                        settings.clockGranularityNanos(),
                        settings.safetyLimits().pollIntervalNanos()
                                / FIRST_BACKOFFS_PER_POLL_INTERVAL);
        backoffNanos = Math.max(minBackoffNanos, Math.min(backoffNanos * 2, maxBackoffNanos()));
        subscribeAgainAt(now + backoffNanos / 2 + random.nextLong(backoffNanos / 2 + 1));
    }

    /** Discovery has sent an update: cancels the scheduled subscription and resets the backoff. */
    void onUpdate() {
        generation++;
        backoffNanos = 0;
    }

    private long maxBackoffNanos() {
        return settings.safetyLimits().pollIntervalNanos() / 2;
    }

    private void subscribeAgainAt(long at) {
        long scheduled = ++generation;
        timers.schedule(
                at,
                now -> {
                    if (scheduled == generation) {
                        subscribe(now);
                    }
                });
    }
}
