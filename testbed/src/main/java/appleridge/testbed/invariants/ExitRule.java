package appleridge.testbed.invariants;

/** A sidecar ends only when it is told to. */
final class ExitRule implements DayListener {
    private final SidecarIncarnations lives;
    private final Findings findings;

    ExitRule(SidecarIncarnations lives, Findings findings) {
        this.lives = lives;
        this.findings = findings;
    }

    @Override
    public void sidecarExited(String sidecar, int life, int status) {
        if (lives.termAt(sidecar, life) == AttemptRecord.NEVER) {
            findings.add(Rule.CRASH, sidecar, "ended by itself with status " + status);
        }
    }
}
