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

/** The network links of the day: their regular conditions, and temporary changes by faults. */
final class Links {

    /** Probability that a chopped link delivers single bytes instead of small segments. */
    private static final double SINGLE_BYTE_PROBABILITY = 0.1;

    private static final int SEGMENT_RANGE = 200;
    private static final int MIN_SEGMENT = 8;

    /** Nanoseconds between segments on one machine, where they follow each other almost at once. */
    private static final long LOCAL_SEGMENT_GAP = 100;

    /** The regular conditions of one direction. */
    private record Baseline(long delay, int segment, long bytesPerSecond) {}

    private final Day day;
    private final Network network;
    private final SeededRandom chance;
    private final Map<NetworkConditions, Baseline> baselines = new LinkedHashMap<>();
    private final Map<Host, List<NetworkConditions>> ofHost = new LinkedHashMap<>();

    Links(Day day) {
        this.day = day;
        this.network = day.network;
        this.chance = day.work("links");
    }

    /** Connects a client with a sidecar: they are on one machine or close to each other. */
    void connectLocal(Host client, Host sidecar) {
        configure(client, sidecar, day.plan.size(ScenarioParameter.CLIENT_DELAY), true);
    }

    void connect(Host first, Host second, boolean near) {
        configure(
                first,
                second,
                day.plan.size(near ? ScenarioParameter.NEAR_DELAY : ScenarioParameter.FAR_DELAY),
                false);
    }

    private void configure(Host first, Host second, long delay, boolean local) {
        boolean chopped = chance.hits(day.plan.part(ScenarioParameter.CHOPPED));
        int segment =
                !chopped
                        ? 0
                        : chance.hits(SINGLE_BYTE_PROBABILITY)
                                ? 1
                                : -MIN_SEGMENT - chance.nextInt(SEGMENT_RANGE);
        for (NetworkConditions each :
                List.of(network.conditions(first, second), network.conditions(second, first))) {
            each.delay = (long) (delay * (0.8 + 0.4 * chance.nextDouble()));
            each.jitter = (long) (each.delay * day.plan.part(ScenarioParameter.JITTER));
            each.segment = segment;
            int minBuffer = local ? Plan.MIN_LOCAL_BUFFER_BYTES : 0;
            each.sendBuffer = Math.max(minBuffer, day.plan.count(ScenarioParameter.SEND_BUFFER));
            each.receiveBuffer =
                    Math.max(minBuffer, day.plan.count(ScenarioParameter.RECEIVE_BUFFER));
            if (local) {
                each.gap = LOCAL_SEGMENT_GAP;
            } else {
                each.bytesPerSecond = day.plan.size(ScenarioParameter.BANDWIDTH);
                each.lossDelayProbability = day.plan.part(ScenarioParameter.LOSS);
                each.lossDelay = day.plan.size(ScenarioParameter.LOSS_DELAY);
            }
            baselines.put(each, new Baseline(each.delay, each.segment, each.bytesPerSecond));
            ofHost.computeIfAbsent(first, host -> new ArrayList<>()).add(each);
            ofHost.computeIfAbsent(second, host -> new ArrayList<>()).add(each);
        }
    }

    /** Stops packet loss for the rest of the day. */
    void stopLosses() {
        baselines.keySet().forEach(each -> each.lossDelayProbability = 0);
    }

    /** Changes the conditions of all links from and to a host for a while. */
    void change(Host host, long duration, Consumer<NetworkConditions> change) {
        List<NetworkConditions> all = ofHost.get(host);
        all.forEach(change);
        day.after(duration, () -> all.forEach(this::restore));
    }

    /** Changes the conditions from one host to another for a while. */
    void change(Host from, Host to, long duration, Consumer<NetworkConditions> change) {
        NetworkConditions link = network.conditions(from, to);
        change.accept(link);
        day.after(duration, () -> restore(link));
    }

    private void restore(NetworkConditions link) {
        Baseline baseline = baselines.get(link);
        link.delay = baseline.delay();
        link.segment = baseline.segment();
        link.bytesPerSecond = baseline.bytesPerSecond();
        link.refuse = false;
        link.silentConnect = false;
        link.blackHole = false;
    }
}
