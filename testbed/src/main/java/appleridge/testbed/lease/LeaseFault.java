package appleridge.testbed.lease;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A fault of a holder, a waiter or the store. {@link #inject} blocks for as long as it lasts. */
enum LeaseFault {
    /** SIGSTOP of the holder's {@code task} for half a term; the holder may keep the lease. */
    STOPPED_HALF(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() / 2);
        }
    },
    /** SIGSTOP for 90 % of a term; the command may or may not be ended. */
    STOPPED_NEARLY(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() * 9 / 10);
        }
    },
    /** SIGSTOP for 110 % of a term. */
    STOPPED_LONGER(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() * 11 / 10);
        }
    },
    /** SIGSTOP for four terms. */
    STOPPED_LONG(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(holder), fleet.termMillis() * 4);
        }
    },
    /** SIGKILL of the holder's {@code task}. */
    KILLED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random) {
            fleet.tasks.get(holder).kill();
        }
    },
    /** SIGKILL of only the guardian of the holder. */
    GUARDIAN_KILLED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random) {
            fleet.tasks.get(holder).guardian().ifPresent(ProcessHandle::destroyForcibly);
        }
    },
    /** SIGSTOP of the guardian while the holder is cut off from the store, for two terms. */
    GUARDIAN_STOPPED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            ProcessHandle guardian = fleet.tasks.get(holder).guardian().orElse(null);
            if (guardian != null) {
                TaskProcess.signal(guardian.pid(), "STOP");
                fleet.setCutOff(holder, true);
                TimeUnit.MILLISECONDS.sleep(2L * fleet.termMillis());
                fleet.setCutOff(holder, false);
                TaskProcess.signal(guardian.pid(), "CONT");
            }
        }
    },
    /** The holder reaches the protected resource but not the store. */
    CUT_OFF(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws InterruptedException {
            fleet.setCutOff(holder, true);
            TimeUnit.MILLISECONDS.sleep(fleet.termMillis() + random.nextInt(fleet.termMillis()));
            fleet.setCutOff(holder, false);
        }
    },
    /** Of the store's next word to the holder only half arrives. */
    HALF(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws InterruptedException {
            fleet.onLoop(fleet.relays.get(holder)::truncateNext);
        }
    },
    /** The connection of the holder to the store is reset. */
    RESET(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws InterruptedException {
            fleet.onLoop(fleet.relays.get(holder)::reset);
        }
    },
    /** Responses of the store are delayed for all processes. */
    LATE(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws InterruptedException {
            delay(fleet, TimeUnit.MILLISECONDS.toNanos(50 + random.nextInt(200)));
            TimeUnit.MILLISECONDS.sleep(fleet.termMillis());
            delay(fleet, 0);
        }
    },
    /** All sessions expire. */
    EXPIRED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random) {
            for (long session : fleet.server.sessions()) {
                fleet.server.expire(session);
            }
        }
    },
    /** The store is down for less than half a second. */
    RESTARTED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            fleet.server.stop();
            TimeUnit.MILLISECONDS.sleep(random.nextInt(500));
            fleet.server.start();
        }
    },
    /** SIGKILL of a waiter. */
    WAITER_KILLED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random) {
            fleet.tasks.get(randomWaiter(fleet, holder, random)).kill();
        }
    },
    /** SIGSTOP of a waiter for half a term. */
    WAITER_STOPPED(false) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            stop(fleet.tasks.get(randomWaiter(fleet, holder, random)), fleet.termMillis() / 2);
        }
    },
    /** SIGTERM of the holder's {@code task}, which then releases the lease. */
    TERMINATED(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random) {
            fleet.tasks.get(holder).term();
        }
    },
    /** The command ends with status 0. */
    DONE(true) {
        @Override
        void inject(TaskFleet fleet, int holder, SplittableRandom random)
                throws IOException, InterruptedException {
            TaskProcess.signal(fleet.witness.pid(), "USR1");
        }
    };

    /** Whether another process must take over the lease. */
    final boolean changesHolder;

    LeaseFault(boolean changesHolder) {
        this.changesHolder = changesHolder;
    }

    /** Injects the fault into this holder and blocks until it is over. */
    abstract void inject(TaskFleet fleet, int holder, SplittableRandom random)
            throws IOException, InterruptedException;

    /** Whether the holder releases the lease itself. */
    boolean handsOver() {
        return this == TERMINATED || this == DONE;
    }

    private static int randomWaiter(TaskFleet fleet, int holder, SplittableRandom random) {
        return (holder + 1 + random.nextInt(fleet.tasks.size() - 1)) % fleet.tasks.size();
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
