package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Where the rules put what they find: one finding for each rule and subject, the first. */
final class Findings {
    /** A day that is broken throughout needs no more to be understood. */
    private static final int MOST = 1000;

    private final List<InvariantViolation> broken = new ArrayList<>();
    private final Set<String> known = new HashSet<>();
    private final Alarms alarms;

    Findings(Alarms alarms) {
        this.alarms = alarms;
    }

    void add(Rule rule, String subject, String what) {
        if (broken.size() < MOST && known.add(rule.name() + ' ' + subject)) {
            broken.add(new InvariantViolation(rule, alarms.now(), subject, what));
        }
    }

    List<InvariantViolation> all() {
        return Collections.unmodifiableList(broken);
    }
}
