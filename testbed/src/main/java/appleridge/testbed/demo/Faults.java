package appleridge.testbed.demo;

import appleridge.testbed.standin.LoopbackRegistry.State;
import appleridge.testbed.standin.LoopbackServer;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What goes wrong and when, as parts of the time that is played; and what is wrong just now, in
 * words.
 */
final class Faults {
    /**
     * A drained server leaves when nothing new has come for long: after the grace, and some more.
     */
    private static final long LEAVES_MILLIS = 3200;

    private static final long MENTION_MILLIS = 1000;
    private static final double SLOW_TIMES = 6;
    private static final double RESET_PART = 0.4;
    private static final double FLOOD_TIMES = 5;
    private static final String FLOODS = "roue-dor";

    private final Site site;
    private final int seconds;
    private final Runnable reload;
    private final Set<String> now = new LinkedHashSet<>();

    /** With what replaces the sidecar's configuration once discovery has moved. */
    Faults(Site site, int seconds, Runnable reload) {
        this.site = site;
        this.seconds = seconds;
        this.reload = reload;
    }

    /** What is wrong just now. */
    String now() {
        return String.join("; ", now);
    }

    /** To be called on the loop, as traffic begins. */
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
                                FLOODS + " floods: " + (int) FLOOD_TIMES + " times its usual",
                                () -> site.clients.flood(FLOODS, FLOOD_TIMES),
                                () -> site.clients.flood("", 1)));
        at(
                0.72,
                () ->
                        during(
                                0.12,
                                "discovery is away",
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
        for (double when : new double[] {0.10, 0.40, 0.75}) {
            at(
                    when,
                    () -> {
                        mention("bad clients");
                        site.badClients.sendAll();
                    });
        }
    }

    private void slow() {
        LoopbackServer victim = site.another();
        during(
                0.18,
                name(victim) + " is " + (int) SLOW_TIMES + " times slower",
                () -> victim.slow(SLOW_TIMES),
                () -> victim.slow(1));
    }

    private void resets() {
        LoopbackServer victim = site.another();
        during(
                0.13,
                name(victim) + " resets within answers",
                () -> victim.resets(RESET_PART),
                () -> victim.resets(0));
    }

    private void crash() {
        LoopbackServer victim = site.another();
        during(
                0.04,
                name(victim) + " has crashed",
                () -> site.end(victim),
                () -> {
                    site.say(victim, State.GONE);
                    LoopbackServer next = site.replace(victim);
                    mention(next.identity().name() + " starts cold at its address");
                });
    }

    private void drain() {
        LoopbackServer victim = site.another();
        String words = name(victim) + " drains";
        now.add(words);
        site.say(victim, State.TERMINATING);
        LoopbackServer next = site.add(victim.identity().zone());
        mention(next.identity().name() + " starts cold");
        site.loop.schedule(
                () -> {
                    now.remove(words);
                    site.end(victim);
                    site.say(victim, State.GONE);
                },
                LEAVES_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void during(double part, String words, Runnable begins, Runnable ends) {
        now.add(words);
        begins.run();
        at(
                part,
                () -> {
                    now.remove(words);
                    ends.run();
                });
    }

    /** What is over in a moment stays on the board for a line. */
    private void mention(String words) {
        now.add(words);
        site.loop.schedule(() -> now.remove(words), MENTION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** After this part of the whole. */
    private void at(double part, Runnable what) {
        site.loop.schedule(what, (long) (part * seconds * 1000), TimeUnit.MILLISECONDS);
    }

    private static String name(LoopbackServer server) {
        return server.identity().name() + " in " + server.identity().zone();
    }
}
