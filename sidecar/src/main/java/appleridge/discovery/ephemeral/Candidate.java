package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import java.util.Comparator;

/**
 * A host as the sources together have it, before it is compared with others at its address.
 *
 * @param there whether a source has it now; one whose node has just vanished is still kept
 * @param czxid the transaction that made its node; 0 where it has none
 */
record Candidate(DiscoveredEndpoint member, boolean there, boolean fromNode, long czxid) {
    /**
     * The host that holds an address comes first: only one process can listen there, and it is the
     * one that started last. Of two that started together, one with a node goes before one of the
     * registry, and the later node before the earlier one.
     */
    static final Comparator<Candidate> FIRST_AT_ADDRESS =
            Comparator.comparing(Candidate::there)
                    .thenComparingLong(each -> each.member.startedAtUnixMillis())
                    .thenComparing(Candidate::fromNode)
                    .thenComparingLong(Candidate::czxid)
                    .reversed()
                    .thenComparing(each -> each.member.id());
}
