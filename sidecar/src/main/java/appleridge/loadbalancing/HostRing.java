package appleridge.loadbalancing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Round robin over a random fixed order of all ready hosts. Picks the less busy of the host at the
 * cursor and the next one. Hosts of the {@link HostSubset} come first; the remainder of the fleet
 * is used only if no member takes the request.
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

    /** Draws a new uniform permutation of the ready hosts and starts at its beginning. */
    void redraw() {
        order.clear();
        order.addAll(registry.ready());
        Collections.shuffle(order, random);
        members.reset();
        assignMembers();
    }

    /** Adapts the subset to the average number of requests that are open at a time. */
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
     * Returns the host for the request's next attempt, or null if no host takes it now.
     *
     * @param ignoreEjection whether ejected hosts are eligible too, the panic mode. The remainder
     *     then comes first, since the failures that led to the ejections were observed in the
     *     subset.
     */
    TrackedHost pick(long now, TrackedRequest request, boolean ignoreEjection) {
        RingCursor first = ignoreEjection ? remainder : members;
        RingCursor second = ignoreEjection ? members : remainder;
        TrackedHost host = pick(now, request, ignoreEjection, first);
        return host != null ? host : pick(now, request, ignoreEjection, second);
    }

    /**
     * Returns the less busy of the first eligible host that takes its turn and the next eligible
     * one; the former if they tie. Only first attempts take turns and move the cursor: retries
     * choose among few hosts and would make the turns uneven. If no eligible host has credit for a
     * turn, the first eligible host is used.
     */
    private TrackedHost pick(
            long now, TrackedRequest request, boolean ignoreEjection, RingCursor cursor) {
        boolean takesTurns = !request.hasAttempts();
        TrackedHost firstChoice = null;
        TrackedHost firstWithoutTurn = null;
        int size = cursor.size();
        int start = cursor.position();
        for (int i = 0; i < size; i++) {
            int index = (start + i) % size;
            TrackedHost host = cursor.host(index);
            if (gates.check(now, host, request, i == 0, ignoreEjection)
                    != HostEligibility.ELIGIBLE) {
                continue;
            }
            if (firstChoice != null) {
                return host.inFlight() < firstChoice.inFlight() ? host : firstChoice;
            }
            if (takesTurns && !turns.takeTurn(now, host)) {
                firstWithoutTurn = firstWithoutTurn == null ? host : firstWithoutTurn;
                continue;
            }
            firstChoice = host;
            if (takesTurns) {
                cursor.advancePast(index);
            }
        }
        return firstChoice != null ? firstChoice : firstWithoutTurn;
    }
}
