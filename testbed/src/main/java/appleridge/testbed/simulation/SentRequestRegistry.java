package appleridge.testbed.simulation;

import appleridge.testbed.invariants.Message;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the usual clients have asked, by id: from it servers know what a request is, and which are
 * none.
 */
final class SentRequestRegistry {
    /**
     * One try's form.
     *
     * @param work nanoseconds that it costs a core, before the servers' own chance
     */
    record SentRequest(int requestClass, Message message, long work) {
        String key() {
            return message.key();
        }

        String method() {
            return message.method();
        }
    }

    private final Map<String, SentRequest> forms = new HashMap<>();
    private final Set<String> borrowed = new HashSet<>();

    /** What is to be done to the answers of some; by id. */
    private final Map<String, ResponseCorruption> spoilt = new HashMap<>();

    private final Map<String, ResponseExtra> extras = new HashMap<>();

    void add(String id, SentRequest form) {
        forms.put(id, form);
    }

    /** Null for an id that no usual client has sent. */
    SentRequest find(String id) {
        return forms.get(id);
    }

    /** A bad client asks under this id too, with another method. */
    void markReused(String id) {
        borrowed.add(id);
    }

    /** What to call what came under this id: it may be another's who only says so. */
    String effectiveId(String id, String method) {
        SentRequest form = forms.get(id);
        return form != null && borrowed.contains(id) && !form.method().equals(method)
                ? Site.BAD_CLIENT_ID_PREFIX + id
                : id;
    }

    void corruptResponse(String id, ResponseCorruption how) {
        spoilt.put(id, how);
    }

    void addExtra(String id, ResponseExtra what) {
        extras.put(id, what);
    }

    /** How this one's next answer is to be spoilt; told once. */
    ResponseCorruption takeCorruption(String id) {
        return spoilt.isEmpty() ? null : spoilt.remove(id);
    }

    ResponseExtra takeExtra(String id) {
        return extras.isEmpty() ? null : extras.remove(id);
    }

    ResponseExtra peekExtra(String id) {
        return extras.isEmpty() ? null : extras.get(id);
    }
}
