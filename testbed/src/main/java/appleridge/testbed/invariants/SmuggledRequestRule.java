package appleridge.testbed.invariants;

import java.util.HashSet;
import java.util.Set;

/**
 * Checks that no request is forwarded that a bad client hid where no request should be read, or
 * that is malformed.
 */
final class SmuggledRequestRule implements DayListener {
    private final Findings findings;
    private final Set<String> smuggled = new HashSet<>();

    SmuggledRequestRule(Findings findings) {
        this.findings = findings;
    }

    @Override
    public void badClientHidRequest(String name, String id) {
        smuggled.add(id);
    }

    @Override
    public void serverReadId(
            String server, int incarnation, String sidecar, String id, long firstByteSentAt) {
        if (smuggled.contains(id)) {
            findings.add(
                    Rule.DUPLICATE,
                    id,
                    "hidden by a bad client or malformed, but forwarded to " + server);
        }
    }
}
