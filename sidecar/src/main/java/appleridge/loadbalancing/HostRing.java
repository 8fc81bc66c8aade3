package appleridge.loadbalancing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The round robin: a random fixed order of all ready hosts, from which the less busy of the pointed
 * host and the next one is picked. The {@link HostSubset} comes first, the remainder of the fleet
 * only where no member takes the request.
 */
final class HostRing {
    private final Random random;
    private final HostRegistry registry;
    private final HostSubset subset;
    private final HostGates gates;
    private final TurnWeighting turns;
    private final List<TrackedHost> order = new ArrayList<>();
    private final RingCursor members = new RingCursor();
    private final RingCursor remainder = new RingCursor();

    HostRing(
            Random random,
            HostRegistry registry,
            HostSubset subset,
            HostGates gates,
            TurnWeighting turns) {
        this.random = random;
        this.registry = registry;
        this.subset = subset;
        this.gates = gates;
        this.turns = turns;
    }

    /** Draws a uniform permutation of the ready hosts and starts from its beginning. */
    void redraw() {
        order.clear();
        order.addAll(registry.ready());
        Collections.shuffle(order, random);
        members.reset();
        assignMembers();
    }

    /** Fits the subset to the average number of requests that are open at a time. */
    void resize(double concurrentRequests) {
        if (subset.resize(concurrentRequests)) {
            assignMembers();
        }
    }

    private void assignMembers() {
        subset.assign();
        members.setHosts(order.stream().filter(subset::contains).toList());
        remainder.setHosts(order.stream().filter(host -> !subset.contains(host)).toList());
    }

    /**
     * The host for the request's next attempt, or null where none takes it now.
     *
     * @param ignoreEjection the panic mode: ejected hosts count too. What ejected them was learned
     *     in the subset, so that the remainder then comes first.
     */
    TrackedHost pick(long now, TrackedRequest request, boolean ignoreEjection) {
        RingCursor first = ignoreEjection ? remainder : members;
        RingCursor second = ignoreEjection ? members : remainder;
        TrackedHost host = pick(now, request, ignoreEjection, first);
        return host != null ? host : pick(now, request, ignoreEjection, second);
    }

    /**
     * The less busy of the first two eligible hosts, a tie going to the first. Only first attempts
     * take turns and move the cursor: a retry sees few hosts and would make the turns uneven.
     */
    private TrackedHost pick(
            long now, TrackedRequest request, boolean ignoreEjection, RingCursor cursor) {
        boolean takesTurns = !request.hasAttempts();
        TrackedHost pointed = null;
        TrackedHost withoutTurn = null;
        int size = cursor.size();
        int start = cursor.position();
        for (int i = 0; i < size; i++) {
            int index = (start + i) % size;
            TrackedHost host = cursor.host(index);
            if (gates.check(now, host, request, i == 0, ignoreEjection)
                    != HostEligibility.ELIGIBLE) {
                continue;
            }
            if (pointed != null) {
                return host.inFlight() < pointed.inFlight() ? host : pointed;
            }
            if (takesTurns && !turns.takeTurn(now, host)) {
                withoutTurn = withoutTurn == null ? host : withoutTurn;
                continue;
            }
            pointed = host;
            if (takesTurns) {
                cursor.advancePast(index);
            }
        }
        return pointed != null ? pointed : withoutTurn;
    }
}
