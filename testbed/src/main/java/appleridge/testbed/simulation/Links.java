package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The links of the day: how they are by nature, and how troubles change them for a while. */
final class Links {
    /** Cuts of a chopped link that are as small as they get, beside those of some size. */
    private static final double BYTE_BY_BYTE = 0.1;

    private static final int LARGEST_PIECE = 200;
    private static final int SMALLEST_PIECE = 8;

    /** On one machine the pieces follow one another at once. */
    private static final long GAP_AT_HOME = 100;

    /** How one direction is by nature. */
    private record Nature(long delay, int segment, long bytesPerSecond) {}

    private final Day day;
    private final Network network;
    private final SeededRandom chance;
    private final Map<NetworkConditions, Nature> natures = new LinkedHashMap<>();
    private final Map<Host, List<NetworkConditions>> ofHost = new LinkedHashMap<>();

    Links(Day day) {
        this.day = day;
        this.network = day.network;
        this.chance = day.work("links");
    }

    /** A client and its sidecar are on one machine, or close. */
    void home(Host client, Host sidecar) {
        both(client, sidecar, day.plan.size(ScenarioParameter.CLIENT_DELAY), true);
    }

    void join(Host one, Host other, boolean near) {
        both(
                one,
                other,
                day.plan.size(near ? ScenarioParameter.NEAR_DELAY : ScenarioParameter.FAR_DELAY),
                false);
    }

    private void both(Host one, Host other, long delay, boolean home) {
        boolean chopped = chance.hits(day.plan.part(ScenarioParameter.CHOPPED));
        int segment =
                !chopped
                        ? 0
                        : chance.hits(BYTE_BY_BYTE)
                                ? 1
                                : -SMALLEST_PIECE - chance.nextInt(LARGEST_PIECE);
        for (NetworkConditions each :
                List.of(network.conditions(one, other), network.conditions(other, one))) {
            each.delay = (long) (delay * (0.8 + 0.4 * chance.nextDouble()));
            each.jitter = (long) (each.delay * day.plan.part(ScenarioParameter.JITTER));
            each.segment = segment;
            int least = home ? Plan.LEAST_BUFFER_AT_HOME : 0;
            each.sendBuffer = Math.max(least, day.plan.count(ScenarioParameter.SEND_BUFFER));
            each.receiveBuffer = Math.max(least, day.plan.count(ScenarioParameter.RECEIVE_BUFFER));
            if (home) {
                each.gap = GAP_AT_HOME;
            } else {
                each.bytesPerSecond = day.plan.size(ScenarioParameter.BANDWIDTH);
                each.lossDelayProbability = day.plan.part(ScenarioParameter.LOSS);
                each.lossDelay = day.plan.size(ScenarioParameter.LOSS_DELAY);
            }
            natures.put(each, new Nature(each.delay, each.segment, each.bytesPerSecond));
            ofHost.computeIfAbsent(one, host -> new ArrayList<>()).add(each);
            ofHost.computeIfAbsent(other, host -> new ArrayList<>()).add(each);
        }
    }

    /** No more losses from now on. */
    void calm() {
        natures.keySet().forEach(each -> each.lossDelayProbability = 0);
    }

    /** Changes all that goes to and from a host, for a while. */
    void change(Host host, long duration, Consumer<NetworkConditions> how) {
        List<NetworkConditions> all = ofHost.get(host);
        all.forEach(how);
        day.after(duration, () -> all.forEach(this::restore));
    }

    /** Changes what goes from one host to another, for a while. */
    void change(Host from, Host to, long duration, Consumer<NetworkConditions> how) {
        NetworkConditions weather = network.conditions(from, to);
        how.accept(weather);
        day.after(duration, () -> restore(weather));
    }

    private void restore(NetworkConditions weather) {
        Nature nature = natures.get(weather);
        weather.delay = nature.delay();
        weather.segment = nature.segment();
        weather.bytesPerSecond = nature.bytesPerSecond();
        weather.refuse = false;
        weather.silentConnect = false;
        weather.blackHole = false;
    }
}
