package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import java.util.Comparator;

/**
 * An upstream as the sources together have it, before it is weighed against others at its address.
 *
 * @param there whether a source has it now; one whose node has just vanished is still kept
 * @param czxid the transaction that made its node; 0 where it has none
 */
record Candidate(DiscoveredEndpoint member, boolean there, boolean fromNode, long czxid) {
    /**
     * Who is at an address comes first: one process can listen there, and it is the one that began
     * last. Of two that began together, the node speaks of the process itself, and the later node
     * is the one that its process knows of.
     */
    static final Comparator<Candidate> FIRST_AT_ADDRESS =
            Comparator.comparing(Candidate::there)
                    .thenComparingLong(each -> each.member.startedAtUnixMillis())
                    .thenComparing(Candidate::fromNode)
                    .thenComparingLong(Candidate::czxid)
                    .reversed()
                    .thenComparing(each -> each.member.id());
}
