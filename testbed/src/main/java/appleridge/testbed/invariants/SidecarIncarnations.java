package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks the processes of each sidecar and how they ended. */
final class SidecarIncarnations implements DayListener {
    private static final class Incarnation {
        private final int number;
        private boolean killed;
        private boolean exited;
        private long termAt = AttemptRecord.NEVER;
        private long readyAt = AttemptRecord.NEVER;

        Incarnation(int number) {
            this.number = number;
        }
    }

    /** By sidecar, its processes in the order of their start. */
    private final Map<String, List<Incarnation>> incarnations = new HashMap<>();

    private final ScheduledChecks checks;

    SidecarIncarnations(ScheduledChecks checks) {
        this.checks = checks;
    }

    /** Returns the number of the process that runs or ran last. */
    int current(String sidecar) {
        List<Incarnation> all = all(sidecar);
        return all.get(all.size() - 1).number;
    }

    boolean isKilled(String sidecar, int incarnation) {
        return of(sidecar, incarnation).killed;
    }

    /** Returns whether the process was neither killed nor has exited. */
    boolean runs(String sidecar, int incarnation) {
        Incarnation found = of(sidecar, incarnation);
        return !found.killed && !found.exited;
    }

    /** Returns when the process was sent SIGTERM, or NEVER. */
    long termAt(String sidecar, int incarnation) {
        return of(sidecar, incarnation).termAt;
    }

    /** Returns whether the process had reported ready by {@code moment}. */
    boolean wasReady(String sidecar, int incarnation, long moment) {
        Incarnation found = of(sidecar, incarnation);
        return found.readyAt != AttemptRecord.NEVER && found.readyAt <= moment;
    }

    private List<Incarnation> all(String sidecar) {
        return incarnations.computeIfAbsent(
                sidecar, name -> new ArrayList<>(List.of(new Incarnation(0))));
    }

    private Incarnation of(String sidecar, int incarnation) {
        List<Incarnation> all = all(sidecar);
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i).number == incarnation) {
                return all.get(i);
            }
        }
        throw new IllegalStateException(
                "sidecar " + sidecar + " has no incarnation " + incarnation);
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        all(sidecar).add(new Incarnation(incarnation));
    }

    @Override
    public void sidecarReady(String sidecar, int incarnation) {
        Incarnation ready = of(sidecar, incarnation);
        ready.readyAt = ready.readyAt == AttemptRecord.NEVER ? checks.now() : ready.readyAt;
    }

    @Override
    public void sidecarKilled(String sidecar, int incarnation) {
        of(sidecar, incarnation).killed = true;
    }

    @Override
    public void sidecarExited(String sidecar, int incarnation, int status) {
        of(sidecar, incarnation).exited = true;
    }

    @Override
    public void sidecarSigterm(String sidecar, int incarnation) {
        of(sidecar, incarnation).termAt = checks.now();
    }
}
