package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Collects the violations: the first for each rule and subject. */
final class Findings {
    /** A day with more violations than this needs no more of them to be understood. */
    private static final int MAX_VIOLATIONS = 1000;

    private final List<InvariantViolation> violations = new ArrayList<>();
    private final Set<String> reported = new HashSet<>();
    private final ScheduledChecks checks;

    Findings(ScheduledChecks checks) {
        this.checks = checks;
    }

    void add(Rule rule, String subject, String what) {
        if (violations.size() < MAX_VIOLATIONS && reported.add(rule.name() + ' ' + subject)) {
            violations.add(new InvariantViolation(rule, checks.now(), subject, what));
        }
    }

    List<InvariantViolation> all() {
        return Collections.unmodifiableList(violations);
    }
}
