package appleridge.testbed.invariants;

/** Checks that a sidecar exits only after SIGTERM. */
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
            findings.add(Rule.CRASH, sidecar, "exited with status " + status + " without SIGTERM");
        }
    }
}
