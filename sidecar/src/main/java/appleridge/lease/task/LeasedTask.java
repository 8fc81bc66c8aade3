package appleridge.lease.task;

import appleridge.lease.Grant;
import appleridge.lease.Lease;
import appleridge.lease.store.LeaseClock;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Acquires a lease and runs a command while it is held, repeatedly, until the command ends by
 * itself. All state is confined to the thread of {@link #run} unless stated otherwise.
 */
final class LeasedTask implements LeaseClient.Listener {
    /** The longest time from one poll of the command to the next. */
    private static final long MAX_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** How long the task waits for a release to reach the store. */
    private static final long RELEASE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The status of a task that has not ended. */
    private static final int RUNNING = -1;

    private final TaskSettings settings;
    private final String name;
    private final List<String> command;
    private final LeaseClock clock;
    private final Supplier<String> nonces;
    private final LeaseLog log;
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final CountDownLatch finished = new CountDownLatch(1);
    private final LeaseClient client;
    private final Lease lease;

    /** Null unless the lease is held. */
    private Grant grant;

    /** Null between two runs of the command. */
    private GuardedProcess process;

    /** Whether the guardian has been allowed to start the command. */
    private boolean started;

    private boolean terminating;
    private boolean recordRecreated;

    /** Read by the threads that call {@link #terminate}. */
    private volatile int status = RUNNING;

    /**
     * Creates a task that is not running.
     *
     * @param name the lease's name
     * @param holder the name of this process, for operators
     * @param command the command to run, and its arguments
     * @param nonces supplies values that no process has used before: the first is the lease's
     *     incarnation, each further one marks the processes of one run
     */
    LeasedTask(
            TaskSettings settings,
            String name,
            String holder,
            List<String> command,
            LeaseClock clock,
            Supplier<String> nonces,
            LeaseClient.StoreFactory stores,
            Consumer<String> log) {
        this.settings = settings;
        this.name = name;
        this.command = command;
        this.clock = clock;
        this.nonces = nonces;
        this.log = new LeaseLog(name, log);
        this.client =
                new LeaseClient(
                        settings.parameters(),
                        holder,
                        nonces.get(),
                        clock,
                        stores,
                        tasks::add,
                        this);
        this.lease = client.lease();
    }

    /**
     * Runs until the command has ended by itself or {@link #terminate} was called.
     *
     * @return the exit status of the process; see {@link TaskExitStatus}
     * @throws IOException if a guardian can't be started or its report can't be read
     */
    int run() throws InterruptedException, IOException {
        try {
            client.start();
            lease.acquire(clock.nanoTime());
            while (status == RUNNING) {
                step();
            }
            awaitRelease();
            return status;
        } finally {
            // Callers of terminate would wait forever otherwise.
            status = status == RUNNING ? TaskExitStatus.FAILED : status;
            finished.countDown();
        }
    }

    /**
     * Ends the command, releases the lease and waits for the end of {@link #run}. May be called
     * from any thread.
     *
     * @return the exit status of the process
     */
    int terminate() throws InterruptedException {
        tasks.add(() -> terminating = true);
        finished.await();
        return status;
    }

    private void step() throws InterruptedException, IOException {
        long untilTimerNanos = client.timerAtNanos() - clock.nanoTime();
        Runnable task =
                tasks.poll(
                        Math.max(0, Math.min(MAX_POLL_INTERVAL_NANOS, untilTimerNanos)),
                        TimeUnit.NANOSECONDS);
        // The lease may have expired during a pause of this process. That is handled before the
        // events that were queued meanwhile.
        lease.onTimer(clock.nanoTime());
        if (task != null) {
            task.run();
        }
        log.logChanges(lease, grant);
        reconcile();
        log.logChanges(lease, grant);
    }

    private void reconcile() throws IOException {
        long nowNanos = clock.nanoTime();
        boolean suspended = clock.mayHaveSuspended();
        if (process == null) {
            reconcileIdle(nowNanos, suspended);
        } else {
            reconcileRunning(nowNanos, suspended);
        }
    }

    private void reconcileIdle(long nowNanos, boolean suspended) throws IOException {
        if (terminating) {
            status = TaskExitStatus.TERMINATED;
            release();
        } else if (recordRecreated) {
            status = TaskExitStatus.RECORD_RECREATED;
        } else if (suspended) {
            // The grant was measured by a clock that stood still; a new guardian can't detect that.
            release();
            lease.acquire(nowNanos);
        } else if (grant != null) {
            process =
                    new GuardedProcess(clock, settings, nonces.get(), name, grant.token(), command);
            started = false;
        } else {
            // No effect unless the lease was lost.
            lease.acquire(nowNanos);
        }
    }

    private void reconcileRunning(long nowNanos, boolean suspended) throws IOException {
        if (terminating || recordRecreated || suspended) {
            process.stop();
        } else if (grant != null
                && !started
                && lease.tryStart(nowNanos, settings.terminationNanos()) != null) {
            started = true;
            process.extendUntil(grant.expiresAtNanos());
            log.info("starting the command, token=" + grant.token());
        }
        GuardianReport report = process.pollReport(nowNanos);
        if (report != null) {
            process = null;
            onCommandEnded(report);
        }
    }

    private void onCommandEnded(GuardianReport report) {
        log.info(
                "command result: "
                        + (report.isMissing() ? "its guardian was killed" : report.text()));
        if (report.isEnded()) {
            status = report.exitStatus();
            if (status == 0) {
                release();
            }
        } else if (report.isCommandNotFound()) {
            status = TaskExitStatus.COMMAND_NOT_STARTED;
            release();
        } else if (report.isMissing()) {
            status = TaskExitStatus.GUARDIAN_LOST;
        } else if (!terminating && !recordRecreated) {
            // The guardian stopped the command while the lease was held: other waiters come first.
            release();
            lease.acquire(clock.nanoTime());
        }
    }

    private void release() {
        grant = null;
        lease.release(clock.nanoTime());
    }

    /** Waits for a release to reach the store; the next holder would otherwise wait a term. */
    private void awaitRelease() throws InterruptedException {
        long deadlineNanos = clock.nanoTime() + RELEASE_WAIT_NANOS;
        long nowNanos = clock.nanoTime();
        while (lease.isReleasePending() && nowNanos < deadlineNanos) {
            Runnable task =
                    tasks.poll(
                            Math.min(MAX_POLL_INTERVAL_NANOS, deadlineNanos - nowNanos),
                            TimeUnit.NANOSECONDS);
            if (task != null) {
                task.run();
            }
            lease.onTimer(clock.nanoTime());
            nowNanos = clock.nanoTime();
        }
        log.logChanges(lease, grant);
        client.close();
    }

    @Override
    public void onGranted(Grant next) {
        grant = next;
        if (process != null && started) {
            process.extendUntil(next.expiresAtNanos());
        }
    }

    @Override
    public void onStopRequired() {
        grant = null;
        if (process != null) {
            process.stop();
        }
    }

    @Override
    public void onRecordRecreated() {
        recordRecreated = true;
    }
}
