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
 * Acquires a lease and runs a command while it is held, again and again, until the command ends by
 * itself. All state is confined to the thread of {@link #run}, except where said otherwise.
 */
final class LeasedTask implements LeaseClient.Listener {
    /** From one look at the command to the next, at most. */
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** How long the task waits for the store to learn of a release. */
    private static final long RELEASE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The status of a task that goes on. */
    private static final int RUNNING = -1;

    private final TaskSettings settings;
    private final String name;
    private final List<String> command;
    private final LeaseClock clock;
    private final Supplier<String> nonces;
    private final LeaseLog log;
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private final LeaseClient client;
    private final Lease lease;

    /** Null unless the lease is held. */
    private Grant grant;

    /** Null between two runs of the command. */
    private GuardedProcess process;

    /** Whether the guardian was allowed to start the command. */
    private boolean started;

    private boolean terminating;
    private boolean recordRecreated;

    /** Read by the threads that call {@link #terminate}. */
    private volatile int status = RUNNING;

    /**
     * Creates a task that has not begun.
     *
     * @param name the lease's
     * @param holder names this process to operators
     * @param command what to run, and its arguments
     * @param nonces never the same twice, of any process; the first is the lease's incarnation,
     *     each further one marks the processes of one run
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
     * @throws IOException if a guardian can't be started or its report not read
     */
    int run() throws InterruptedException, IOException {
        try {
            client.start();
            lease.acquire(clock.nanoTime());
            while (status == RUNNING) {
                step();
            }
            leave();
            return status;
        } finally {
            // Callers of terminate would wait for good otherwise.
            status = status == RUNNING ? TaskExitStatus.FAILED : status;
            over.countDown();
        }
    }

    /**
     * Ends the command, releases the lease and waits for the end of {@link #run}. From any thread.
     *
     * @return the exit status of the process
     */
    int terminate() throws InterruptedException {
        tasks.add(() -> terminating = true);
        over.await();
        return status;
    }

    private void step() throws InterruptedException, IOException {
        long untilTimerNanos = client.timerAtNanos() - clock.nanoTime();
        Runnable task =
                tasks.poll(
                        Math.max(0, Math.min(STEP_NANOS, untilTimerNanos)), TimeUnit.NANOSECONDS);
        // After a pause of this process queued events are old news: first the lease may have ended.
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
            // The grant is counted by a clock that stood still, which a new guardian can't know.
            release();
            lease.acquire(nowNanos);
        } else if (grant != null) {
            process =
                    new GuardedProcess(clock, settings, nonces.get(), name, grant.token(), command);
            started = false;
        } else {
            // Without effect unless the lease was lost.
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
            log.info("the command begins, token=" + grant.token());
        }
        GuardianReport report = process.pollReport(nowNanos);
        if (report != null) {
            process = null;
            onCommandOver(report);
        }
    }

    private void onCommandOver(GuardianReport report) {
        log.info(
                "the command is over, "
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
            // The guardian had to stop the command though the lease lasted: others come first.
            release();
            lease.acquire(clock.nanoTime());
        }
    }

    private void release() {
        grant = null;
        lease.release(clock.nanoTime());
    }

    /** Waits for the store to learn of a release, as the next holder would wait for the term. */
    private void leave() throws InterruptedException {
        long deadlineNanos = clock.nanoTime() + RELEASE_WAIT_NANOS;
        long nowNanos = clock.nanoTime();
        while (lease.isReleasePending() && nowNanos < deadlineNanos) {
            Runnable task =
                    tasks.poll(
                            Math.min(STEP_NANOS, deadlineNanos - nowNanos), TimeUnit.NANOSECONDS);
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
