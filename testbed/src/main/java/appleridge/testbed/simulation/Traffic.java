package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;

/** Generates the requests of one application's clients at random times, some of them in bursts. */
final class Traffic {
    private static final long MEAN_BURST_INTERVAL_NANOS = 1500 * Site.MS;
    private static final long BURST_NANOS = 60 * Site.MS;

    private final Day day;
    private final Application application;

    /** Requests per second. */
    private final double rate;

    private final SeededRandom random;
    private final SeededRandom floodRandom;

    Traffic(Day day, Application application, int index, double rate) {
        this.day = day;
        this.application = application;
        this.rate = rate;
        this.random = day.work("traffic." + index);
        this.floodRandom = day.faults("flood." + index);
    }

    void begin() {
        if (rate > 0) {
            scheduleNext();
            scheduleBurst();
        }
    }

    private void scheduleNext() {
        if (day.now() >= day.plan.quietFrom()) {
            return;
        }
        double bursts = day.faultsMayOccur() ? day.plan.part(ScenarioParameter.BURSTS) : 0;
        double mean = Site.SECOND / (rate * Math.max(0.01, 1 - bursts));
        day.after(
                (long) random.exponential(mean),
                () -> {
                    if (day.now() < day.plan.quietFrom()) {
                        application.submit(drawTenant(random));
                    }
                    scheduleNext();
                });
    }

    private void scheduleBurst() {
        long wait = MEAN_BURST_INTERVAL_NANOS / 2 + random.nextLong(MEAN_BURST_INTERVAL_NANOS);
        day.after(
                wait,
                () -> {
                    if (day.faultsMayOccur()) {
                        double expected =
                                rate
                                        * day.plan.part(ScenarioParameter.BURSTS)
                                        * MEAN_BURST_INTERVAL_NANOS
                                        / Site.SECOND;
                        int count =
                                (int) expected + (random.hits(expected - (int) expected) ? 1 : 0);
                        for (int i = 0; i < count; i++) {
                            day.after(
                                    random.nextLong(BURST_NANOS),
                                    () -> application.submit(drawTenant(random)));
                        }
                        scheduleBurst();
                    }
                });
    }

    /** Adds requests of one tenant for a while, {@code more} per second. */
    void flood(long duration, double more) {
        int tenant = drawTenant(floodRandom);
        long ends = day.now() + duration;
        scheduleFlood(tenant, ends, more);
    }

    private void scheduleFlood(int tenant, long ends, double more) {
        if (more <= 0) {
            return;
        }
        day.after(
                (long) floodRandom.exponential(Site.SECOND / more),
                () -> {
                    if (day.now() < ends && day.faultsMayOccur()) {
                        application.submit(tenant);
                        scheduleFlood(tenant, ends, more);
                    }
                });
    }

    private static int drawTenant(SeededRandom random) {
        double drawn = random.nextDouble();
        int index = 0;
        while (index < Tenants.ALL.size() - 1 && drawn >= Tenants.ALL.get(index).share()) {
            drawn -= Tenants.ALL.get(index).share();
            index++;
        }
        return index;
    }
}
