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
    record Form(int requestClass, Message message, long work) {
        String key() {
            return message.key();
        }

        String method() {
            return message.method();
        }
    }

    private final Map<String, Form> forms = new HashMap<>();
    private final Set<String> borrowed = new HashSet<>();

    /** What is to be done to the answers of some; by id. */
    private final Map<String, ResponseCorruption> spoilt = new HashMap<>();

    private final Map<String, ResponseExtra> extras = new HashMap<>();

    void add(String id, Form form) {
        forms.put(id, form);
    }

    /** Null for an id that no usual client has sent. */
    Form form(String id) {
        return forms.get(id);
    }

    /** A bad client asks under this id too, with another method. */
    void borrow(String id) {
        borrowed.add(id);
    }

    /** What to call what came under this id: it may be another's who only says so. */
    String name(String id, String method) {
        Form form = forms.get(id);
        return form != null && borrowed.contains(id) && !form.method().equals(method)
                ? Site.BAD_ID + id
                : id;
    }

    void spoil(String id, ResponseCorruption how) {
        spoilt.put(id, how);
    }

    void extra(String id, ResponseExtra what) {
        extras.put(id, what);
    }

    /** How this one's next answer is to be spoilt; told once. */
    ResponseCorruption takeSpoil(String id) {
        return spoilt.isEmpty() ? null : spoilt.remove(id);
    }

    ResponseExtra takeExtra(String id) {
        return extras.isEmpty() ? null : extras.remove(id);
    }

    ResponseExtra extra(String id) {
        return extras.isEmpty() ? null : extras.get(id);
    }
}
