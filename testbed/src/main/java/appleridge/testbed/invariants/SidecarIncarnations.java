package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which process stands for each sidecar, and what became of it. */
final class SidecarIncarnations implements DayListener {
    private static final class Life {
        private final int number;
        private boolean killed;
        private boolean exited;
        private long termAt = AttemptRecord.NEVER;
        private long readyAt = AttemptRecord.NEVER;

        Life(int number) {
            this.number = number;
        }
    }

    /** Of each sidecar, in the order of their beginning. */
    private final Map<String, List<Life>> lives = new HashMap<>();

    private final Alarms alarms;

    SidecarIncarnations(Alarms alarms) {
        this.alarms = alarms;
    }

    /** The number of the process that runs or has run last. */
    int current(String sidecar) {
        List<Life> all = all(sidecar);
        return all.get(all.size() - 1).number;
    }

    boolean isKilled(String sidecar, int life) {
        return of(sidecar, life).killed;
    }

    /** Whether that process neither was killed nor ended. */
    boolean runs(String sidecar, int life) {
        Life asked = of(sidecar, life);
        return !asked.killed && !asked.exited;
    }

    /** When it was sent SIGTERM, or never. */
    long termAt(String sidecar, int life) {
        return of(sidecar, life).termAt;
    }

    /** Whether it had said by then that it was ready. */
    boolean wasReady(String sidecar, int life, long moment) {
        Life asked = of(sidecar, life);
        return asked.readyAt != AttemptRecord.NEVER && asked.readyAt <= moment;
    }

    private List<Life> all(String sidecar) {
        return lives.computeIfAbsent(sidecar, name -> new ArrayList<>(List.of(new Life(0))));
    }

    private Life of(String sidecar, int life) {
        List<Life> all = all(sidecar);
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i).number == life) {
                return all.get(i);
            }
        }
        throw new IllegalStateException(sidecar + " has had no life " + life);
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        all(sidecar).add(new Life(life));
    }

    @Override
    public void sidecarReady(String sidecar, int life) {
        Life ready = of(sidecar, life);
        ready.readyAt = ready.readyAt == AttemptRecord.NEVER ? alarms.now() : ready.readyAt;
    }

    @Override
    public void sidecarKilled(String sidecar, int life) {
        of(sidecar, life).killed = true;
    }

    @Override
    public void sidecarExited(String sidecar, int life, int status) {
        of(sidecar, life).exited = true;
    }

    @Override
    public void sidecarSigterm(String sidecar, int life) {
        of(sidecar, life).termAt = alarms.now();
    }
}
