package appleridge.discovery.ephemeral;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Counts the nodes whose data can't be read, and logs a bounded number of them, once each. */
final class UnreadableNodes {
    private static final int MAX_LOGGED = 100;

    private final Consumer<String> warning;
    private final Set<String> unreadable = new HashSet<>();
    private final Set<String> logged = new HashSet<>();
    private boolean reportedMany;

    UnreadableNodes(Consumer<String> warning) {
        this.warning = warning;
    }

    int count() {
        return unreadable.size();
    }

    void add(String name, String problem) {
        unreadable.add(name);
        if (logged.contains(name)) {
            return;
        }
        if (logged.size() < MAX_LOGGED) {
            logged.add(name);
            warning.accept(
                    "membership: node " + name + " can't be read and is left out: " + problem);
        } else if (!reportedMany) {
            reportedMany = true;
            warning.accept(
                    "membership: more than "
                            + MAX_LOGGED
                            + " nodes can't be read; further ones are not logged");
        }
    }

    /** Removes a node that was read; it is not logged again if it becomes unreadable again. */
    void remove(String name) {
        unreadable.remove(name);
    }

    /** Forgets a deleted node. */
    void forget(String name) {
        unreadable.remove(name);
        logged.remove(name);
        reportedMany &= !logged.isEmpty();
    }
}
