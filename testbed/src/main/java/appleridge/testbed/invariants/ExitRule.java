package appleridge.testbed.invariants;

/** A sidecar ends only when it is told to. */
final class ExitRule implements DayListener {
    private final SidecarIncarnations incarnations;
    private final Findings findings;

    ExitRule(SidecarIncarnations incarnations, Findings findings) {
        this.incarnations = incarnations;
        this.findings = findings;
    }

    @Override
    public void sidecarExited(String sidecar, int incarnation, int status) {
        if (incarnations.termAt(sidecar, incarnation) == AttemptRecord.NEVER) {
            findings.add(Rule.CRASH, sidecar, "ended by itself with status " + status);
        }
    }
}
