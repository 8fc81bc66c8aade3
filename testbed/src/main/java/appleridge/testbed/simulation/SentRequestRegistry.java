package appleridge.testbed.simulation;

import appleridge.testbed.invariants.Message;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests that the regular clients have sent, by request id. From it order servers know the
 * work of a request, and recognize requests that no regular client has sent.
 */
final class SentRequestRegistry {
    /**
     * A request as sent by its client, one attempt.
     *
     * @param work CPU time in nanoseconds, before the servers' random variation
     */
    record SentRequest(int requestClass, Message message, long work) {
        String key() {
            return message.key();
        }

        String method() {
            return message.method();
        }
    }

    private final Map<String, SentRequest> requests = new HashMap<>();
    private final Set<String> reusedIds = new HashSet<>();

    /** How to corrupt the next response, by request id. */
    private final Map<String, ResponseCorruption> corruptions = new HashMap<>();

    private final Map<String, ResponseExtra> extras = new HashMap<>();

    void add(String id, SentRequest request) {
        requests.put(id, request);
    }

    /** Returns null for an id that no regular client has sent. */
    SentRequest find(String id) {
        return requests.get(id);
    }

    /** Records that a bad client uses this id too, with another method. */
    void markReused(String id) {
        reusedIds.add(id);
    }

    /** The id to report for a received request: marked if a bad client reused another's id. */
    String effectiveId(String id, String method) {
        SentRequest request = requests.get(id);
        return request != null && reusedIds.contains(id) && !request.method().equals(method)
                ? Site.BAD_CLIENT_ID_PREFIX + id
                : id;
    }

    void corruptResponse(String id, ResponseCorruption how) {
        corruptions.put(id, how);
    }

    void addExtra(String id, ResponseExtra what) {
        extras.put(id, what);
    }

    /** Removes and returns how to corrupt the next response; null for none. */
    ResponseCorruption takeCorruption(String id) {
        return corruptions.isEmpty() ? null : corruptions.remove(id);
    }

    /** Removes and returns the extra of the next response; null for none. */
    ResponseExtra takeExtra(String id) {
        return extras.isEmpty() ? null : extras.remove(id);
    }

    /** The extra of the next response; null for none. */
    ResponseExtra peekExtra(String id) {
        return extras.isEmpty() ? null : extras.get(id);
    }
}
