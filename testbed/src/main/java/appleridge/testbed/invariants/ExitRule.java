package appleridge.testbed.invariants;

/** A sidecar ends only when it is told to. */
final class ExitRule implements Evidence {
    private final Lives lives;
    private final Findings findings;

    ExitRule(Lives lives, Findings findings) {
        this.lives = lives;
        this.findings = findings;
    }

    @Override
    public void sidecarExited(String sidecar, int life, int status) {
        if (lives.termAt(sidecar, life) == Asked.NEVER) {
            findings.add(Rule.CRASH, sidecar, "ended by itself with status " + status);
        }
    }
}
