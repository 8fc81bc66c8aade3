package appleridge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Assigns the numbers by which the policy identifies upstream hosts. A number is derived from the
 * host's id alone, so that it is the same after the host returns, at peers, and in the sidecar's
 * next process. If two ids have the same hash, which becomes likely only from some hundred million
 * hosts on, the later one takes the next free number. Not thread-safe.
 */
public final class UpstreamIds {
    /** Width of a host number in a gossip message. */
    private static final int BITS = 48;

    private static final long MASK = (1L << BITS) - 1;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final Map<String, Long> numbers = new HashMap<>();
    private final Set<Long> taken = new HashSet<>();

    /** Returns the hash of an id: FNV-1a, folded to 48 bits, never 0. */
    public static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return Math.max(1, (hash ^ hash >>> BITS) & MASK);
    }

    /** Returns the number of a listed host, and assigns one if it has none. */
    public long number(String id) {
        Long known = numbers.get(id);
        if (known != null) {
            return known;
        }
        long number = hash(id);
        while (!taken.add(number)) {
            number = number == MASK ? 1 : number + 1;
        }
        numbers.put(id, number);
        return number;
    }

    /** Frees the number of a host that is no longer listed. */
    public void forget(String id) {
        Long known = numbers.remove(id);
        if (known != null) {
            taken.remove(known);
        }
    }

    /** Frees the numbers of all hosts but these. */
    public void retain(Collection<String> ids) {
        numbers.entrySet()
                .removeIf(
                        each -> {
                            boolean gone = !ids.contains(each.getKey());
                            if (gone) {
                                taken.remove(each.getValue());
                            }
                            return gone;
                        });
    }
}
