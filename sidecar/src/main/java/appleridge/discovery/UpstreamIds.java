package appleridge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The numbers by which the policy knows upstream hosts. A number follows from the host's id alone,
 * so that a host that comes back, a peer and a next process all mean the same one by it. Of two ids
 * with one hash, which takes about a hundred million of them, the later one takes the next free
 * number. Not thread-safe.
 */
public final class UpstreamIds {
    /** Bits that a gossip message has for a number. */
    private static final int BITS = 48;

    private static final long MASK = (1L << BITS) - 1;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final Map<String, Long> numbers = new HashMap<>();
    private final Set<Long> taken = new HashSet<>();

    /** The hash of an id: FNV-1a, folded to 48 bits, never 0. */
    public static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return Math.max(1, (hash ^ hash >>> BITS) & MASK);
    }

    /** The number of a host that is listed. */
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

    /** Forgets one that is listed no more. */
    public void forget(String id) {
        Long known = numbers.remove(id);
        if (known != null) {
            taken.remove(known);
        }
    }

    /** Forgets all but these. */
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
