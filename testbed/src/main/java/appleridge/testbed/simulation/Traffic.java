package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;

/**
 * When the usual clients of one application want something: at chance times, some of them in
 * bursts.
 */
final class Traffic {
    private static final long BURST_EVERY = 1500 * Site.MS;
    private static final long BURST_LENGTH = 60 * Site.MS;

    private final Day day;
    private final Application application;

    /** Requests a second. */
    private final double rate;

    private final SeededRandom chance;
    private final SeededRandom floods;

    Traffic(Day day, Application application, int index, double rate) {
        this.day = day;
        this.application = application;
        this.rate = rate;
        this.chance = day.work("traffic." + index);
        this.floods = day.faults("flood." + index);
    }

    void begin() {
        if (rate > 0) {
            goOn();
            burst();
        }
    }

    private void goOn() {
        if (day.now() >= day.plan.quietFrom()) {
            return;
        }
        double bursts = day.faultsMayOccur() ? day.plan.part(ScenarioParameter.BURSTS) : 0;
        double mean = Site.SECOND / (rate * Math.max(0.01, 1 - bursts));
        day.after(
                (long) chance.exponential(mean),
                () -> {
                    if (day.now() < day.plan.quietFrom()) {
                        application.submit(tenant(chance));
                    }
                    goOn();
                });
    }

    private void burst() {
        long wait = BURST_EVERY / 2 + chance.nextLong(BURST_EVERY);
        day.after(
                wait,
                () -> {
                    if (day.faultsMayOccur()) {
                        double due =
                                rate
                                        * day.plan.part(ScenarioParameter.BURSTS)
                                        * BURST_EVERY
                                        / Site.SECOND;
                        int many = (int) due + (chance.hits(due - (int) due) ? 1 : 0);
                        for (int i = 0; i < many; i++) {
                            day.after(
                                    chance.nextLong(BURST_LENGTH),
                                    () -> application.submit(tenant(chance)));
                        }
                        burst();
                    }
                });
    }

    /** One tenant sends more for a while, on top of the rest. */
    void flood(long duration, double more) {
        int tenant = tenant(floods);
        long ends = day.now() + duration;
        floodOn(tenant, ends, more);
    }

    private void floodOn(int tenant, long ends, double more) {
        if (more <= 0) {
            return;
        }
        day.after(
                (long) floods.exponential(Site.SECOND / more),
                () -> {
                    if (day.now() < ends && day.faultsMayOccur()) {
                        application.submit(tenant);
                        floodOn(tenant, ends, more);
                    }
                });
    }

    private static int tenant(SeededRandom from) {
        double drawn = from.nextDouble();
        int place = 0;
        while (place < Tenants.ALL.size() - 1 && drawn >= Tenants.ALL.get(place).share()) {
            drawn -= Tenants.ALL.get(place).share();
            place++;
        }
        return place;
    }
}
