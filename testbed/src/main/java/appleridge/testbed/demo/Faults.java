package appleridge.testbed.demo;

import appleridge.testbed.standin.LoopbackRegistry.State;
import appleridge.testbed.standin.LoopbackServer;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Schedules the faults of a demo, at fractions of its duration, and describes the active ones. Used
 * on the event loop of the site only.
 */
final class Faults {
    /**
     * Time from a drain to the exit of the server: the grace period within which requests may still
     * arrive, and some more.
     */
    private static final long DRAIN_TO_EXIT_MILLIS = 3200;

    private static final long MENTION_MILLIS = 1000;
    private static final double SLOWDOWN_FACTOR = 6;
    private static final double RESET_PROBABILITY = 0.4;
    private static final double FLOOD_FACTOR = 5;
    private static final String FLOODING_TENANT = "roue-dor";

    private final Site site;
    private final int seconds;
    private final Runnable reload;
    private final Set<String> active = new LinkedHashSet<>();

    /**
     * Creates the schedule of a demo that lasts this long.
     *
     * @param reload replaces the sidecar's configuration after discovery has moved
     */
    Faults(Site site, int seconds, Runnable reload) {
        this.site = site;
        this.seconds = seconds;
        this.reload = reload;
    }

    /** Describes the active faults, separated by semicolons; empty if there are none. */
    String active() {
        return String.join("; ", active);
    }

    /** Schedules all faults; to be called on the event loop when traffic begins. */
    void begin() {
        at(0.06, this::slow);
        at(0.20, this::resets);
        at(0.34, this::crash);
        at(0.44, this::drain);
        at(
                0.56,
                () ->
                        during(
                                0.14,
                                FLOODING_TENANT
                                        + " floods: "
                                        + (int) FLOOD_FACTOR
                                        + " times its usual rate",
                                () -> site.clients.flood(FLOODING_TENANT, FLOOD_FACTOR),
                                () -> site.clients.flood("", 1)));
        at(
                0.72,
                () ->
                        during(
                                0.12,
                                "discovery is down",
                                () -> site.registry.away(true),
                                () -> site.registry.away(false)));
        at(
                0.88,
                () ->
                        site.registry.move(
                                () -> {
                                    mention("discovery has moved, SIGHUP");
                                    reload.run();
                                }));
        for (double fraction : new double[] {0.10, 0.40, 0.75}) {
            at(
                    fraction,
                    () -> {
                        mention("bad clients");
                        site.badClients.sendAll();
                    });
        }
    }

    private void slow() {
        LoopbackServer victim = site.nextServer();
        during(
                0.18,
                name(victim) + " is " + (int) SLOWDOWN_FACTOR + " times slower",
                () -> victim.slow(SLOWDOWN_FACTOR),
                () -> victim.slow(1));
    }

    private void resets() {
        LoopbackServer victim = site.nextServer();
        during(
                0.13,
                name(victim) + " resets connections within responses",
                () -> victim.resets(RESET_PROBABILITY),
                () -> victim.resets(0));
    }

    private void crash() {
        LoopbackServer victim = site.nextServer();
        during(
                0.04,
                name(victim) + " has crashed",
                () -> site.end(victim),
                () -> {
                    site.announce(victim, State.GONE);
                    LoopbackServer next = site.replace(victim);
                    mention(next.identity().name() + " starts cold at its address");
                });
    }

    private void drain() {
        LoopbackServer victim = site.nextServer();
        String description = name(victim) + " is draining";
        active.add(description);
        site.announce(victim, State.TERMINATING);
        LoopbackServer next = site.add(victim.identity().zone());
        mention(next.identity().name() + " starts cold");
        site.loop.schedule(
                () -> {
                    active.remove(description);
                    site.end(victim);
                    site.announce(victim, State.GONE);
                },
                DRAIN_TO_EXIT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void during(double fraction, String description, Runnable begins, Runnable ends) {
        active.add(description);
        begins.run();
        at(
                fraction,
                () -> {
                    active.remove(description);
                    ends.run();
                });
    }

    /** Shows a momentary event on one line of the board. */
    private void mention(String event) {
        active.add(event);
        site.loop.schedule(() -> active.remove(event), MENTION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs an action after this fraction of the duration, counted from now. */
    private void at(double fraction, Runnable action) {
        site.loop.schedule(action, (long) (fraction * seconds * 1000), TimeUnit.MILLISECONDS);
    }

    private static String name(LoopbackServer server) {
        return server.identity().name() + " in " + server.identity().zone();
    }
}
