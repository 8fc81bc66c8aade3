package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import java.util.Comparator;

/**
 * A host as merged from its sources, before it is compared with other hosts at its address.
 *
 * @param member the merged endpoint
 * @param exists whether a source lists it now; false while its deleted node is still remembered
 * @param fromNode whether it has a node
 * @param czxid the transaction that created its node; 0 if it has none
 */
record Candidate(DiscoveredEndpoint member, boolean exists, boolean fromNode, long czxid) {
    /**
     * Orders the hosts at one address; the first one holds it. Only one process can listen at an
     * address, and that is the one that started last. At equal starts a host with a node comes
     * before one that only the registry lists, and a later node before an earlier one.
     */
    static final Comparator<Candidate> FIRST_AT_ADDRESS =
            Comparator.comparing(Candidate::exists)
                    .thenComparingLong(each -> each.member.startedAtUnixMillis())
                    .thenComparing(Candidate::fromNode)
                    .thenComparingLong(Candidate::czxid)
                    .reversed()
                    .thenComparing(each -> each.member.id());
}
