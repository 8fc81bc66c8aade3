package appleridge.testbed.lease;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** What is done to a holder, a waiter or the store; with it passes whatever time it takes. */
enum LeaseFault {
    /** SIGSTOP of the holder's {@code task} for half a term: it may go on. */
    STOPPED_HALF(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() / 2);
        }
    },
    /** For nine tenths of one: its command is ended, or just not. */
    STOPPED_NEARLY(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() * 9 / 10);
        }
    },
    /** For a little more than one. */
    STOPPED_LONGER(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() * 11 / 10);
        }
    },
    /** For four. */
    STOPPED_LONG(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() * 4);
        }
    },
    /** SIGKILL of the holder's {@code task}. */
    KILLED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance) {
            fleet.tasks.get(holder).kill();
        }
    },
    /** SIGKILL of its guardian alone. */
    GUARDIAN_KILLED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance) {
            fleet.tasks.get(holder).guardian().ifPresent(ProcessHandle::destroyForcibly);
        }
    },
    /** Its guardian is stopped, and the holder cut off from the store. */
    GUARDIAN_STOPPED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            ProcessHandle guardian = fleet.tasks.get(holder).guardian().orElse(null);
            if (guardian != null) {
                TaskProcess.signal(guardian.pid(), "STOP");
                fleet.cut(holder, true);
                TimeUnit.MILLISECONDS.sleep(2L * fleet.termMillis());
                fleet.cut(holder, false);
                TaskProcess.signal(guardian.pid(), "CONT");
            }
        }
    },
    /** The holder reaches what it acts on, and not the store. */
    CUT_OFF(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws InterruptedException {
            fleet.cut(holder, true);
            TimeUnit.MILLISECONDS.sleep(fleet.termMillis() + chance.nextInt(fleet.termMillis()));
            fleet.cut(holder, false);
        }
    },
    /** Of the store's next word to the holder only half arrives. */
    HALF(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws InterruptedException {
            fleet.onLoop(fleet.relays.get(holder)::truncateNext);
        }
    },
    /** Its connection to the store breaks. */
    RESET(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws InterruptedException {
            fleet.onLoop(fleet.relays.get(holder)::reset);
        }
    },
    /** The store is late for all. */
    LATE(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws InterruptedException {
            delay(fleet, TimeUnit.MILLISECONDS.toNanos(50 + chance.nextInt(200)));
            TimeUnit.MILLISECONDS.sleep(fleet.termMillis());
            delay(fleet, 0);
        }
    },
    /** All sessions end. */
    EXPIRED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance) {
            for (long session : fleet.server.sessions()) {
                fleet.server.expire(session);
            }
        }
    },
    /** The store is away for a moment. */
    RESTARTED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            fleet.server.stop();
            TimeUnit.MILLISECONDS.sleep(chance.nextInt(500));
            fleet.server.start();
        }
    },
    /** A waiter is killed. */
    WAITER_KILLED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance) {
            fleet.tasks.get(other(fleet, holder, chance)).kill();
        }
    },
    /** A waiter is stopped for half a term. */
    WAITER_STOPPED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(other(fleet, holder, chance)), fleet.termMillis() / 2);
        }
    },
    /** SIGTERM of the holder's {@code task}: it hands over. */
    TERMINATED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance) {
            fleet.tasks.get(holder).term();
        }
    },
    /** The command ends well. */
    DONE(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom chance)
                throws IOException, InterruptedException {
            TaskProcess.signal(fleet.witness.pid(), "USR1");
        }
    };

    /** Whether another one has to hold after it. */
    final boolean changesHolder;

    LeaseFault(boolean changes) {
        this.changesHolder = changes;
    }

    abstract void inject(TaskFleet fleet, int holder, SplittableRandom chance)
            throws IOException, InterruptedException;

    /** Whether the holder gives the lease away itself. */
    boolean handsOver() {
        return this == TERMINATED || this == DONE;
    }

    private static int other(TaskFleet fleet, int holder, SplittableRandom chance) {
        return (holder + 1 + chance.nextInt(fleet.tasks.size() - 1)) % fleet.tasks.size();
    }

    private static void stop(TaskProcess task, long millis)
            throws IOException, InterruptedException {
        task.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(millis);
        task.signal("CONT");
    }

    private static void delay(TaskFleet fleet, long nanos) throws InterruptedException {
        fleet.onLoop(() -> fleet.relays.forEach(each -> each.delay(nanos)));
    }
}
