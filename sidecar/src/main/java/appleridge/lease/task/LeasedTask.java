package appleridge.lease.task;

import appleridge.lease.Grant;
import appleridge.lease.Lease;
import appleridge.lease.LeaseActions;
import appleridge.lease.LeaseState;
import appleridge.lease.TransitionCause;
import appleridge.lease.VersionedLease;
import appleridge.lease.store.LeaseClock;
import appleridge.lease.store.LeaseStore;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Seeks a lease and runs a command while it is held, again and again, until the command ends by
 * itself.
 */
final class LeasedTask implements LeaseActions, LeaseStore.Events {
    /** As the JVM has it for what nobody caught. */
    static final int EXIT_FAILED = 1;

    /** The command was to begin, and its guardian ended without a word. */
    static final int EXIT_GUARDIAN_LOST = 70;

    /** The lease's record was made anew while it was held. */
    static final int EXIT_RECORD_RECREATED = 76;

    /** As shells have it for a command that can't be started. */
    static final int EXIT_COMMAND_NOT_STARTED = 127;

    /** As shells have it for SIGTERM. */
    static final int EXIT_TERMINATED = 143;

    private static final long LOOK = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LEAVE = TimeUnit.SECONDS.toNanos(2);
    private static final int RUNS_ON = -1;

    private final TaskSettings settings;
    private final String name;
    private final List<String> command;
    private final LeaseClock clock;
    private final Supplier<String> nonces;
    private final Consumer<String> log;
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private final Lease lease;
    private final LeaseStore store;

    private long wakeAt = Long.MAX_VALUE;
    private Grant grant;
    private GuardedProcess running;
    private boolean began;
    private boolean terminating;
    private boolean broken;
    private LeaseState toldState = LeaseState.RELEASED;
    private String toldRecord = "";
    private volatile int status = RUNS_ON;

    /** Makes a store that tells this task. */
    interface Stores {
        LeaseStore make(LeaseStore.Events events, Executor executor);
    }

    LeasedTask(
            TaskSettings settings,
            String name,
            String holder,
            List<String> command,
            LeaseClock clock,
            Supplier<String> nonces,
            Stores stores,
            Consumer<String> log) {
        this.settings = settings;
        this.name = name;
        this.command = command;
        this.clock = clock;
        this.nonces = nonces;
        this.log = log;
        this.lease = new Lease(settings.parameters(), holder, nonces.get(), this);
        this.store = stores.make(this, tasks::add);
    }

    /** Until the command has ended by itself or this is to end; the exit status. */
    int run() throws InterruptedException, IOException {
        try {
            store.start();
            lease.acquire(clock.nanoTime());
            while (status == RUNS_ON) {
                step();
            }
            leave();
            return status;
        } finally {
            // Danger: whoever was told to end it would wait for good.
            status = status == RUNS_ON ? EXIT_FAILED : status;
            over.countDown();
        }
    }

    private void step() throws InterruptedException, IOException {
        Runnable task =
                tasks.poll(
                        Math.max(0, Math.min(LOOK, wakeAt - clock.nanoTime())),
                        TimeUnit.NANOSECONDS);
        // Danger: after a stand-still, what waited tells of a time long ago; the lease's end comes
        // first.
        lease.onTimer(clock.nanoTime());
        if (task != null) {
            task.run();
        }
        say();
        look();
        say();
    }

    /** From any thread: ends the command, gives the lease away and ends; the exit status. */
    int terminate() throws InterruptedException {
        tasks.add(() -> terminating = true);
        over.await();
        return status;
    }

    private void look() throws IOException {
        long now = clock.nanoTime();
        boolean jumped = clock.mayHaveSuspended();
        if (running == null) {
            if (terminating) {
                status = EXIT_TERMINATED;
                release();
            } else if (broken) {
                status = EXIT_RECORD_RECREATED;
            } else if (jumped) {
                // Danger: what is granted counts by a clock that stood still, and a guardian would
                // not know.
                release();
                lease.acquire(now);
            } else if (grant != null) {
                running =
                        new GuardedProcess(
                                clock, settings, nonces.get(), name, grant.token(), command);
                began = false;
            } else {
                // Without effect unless it was lost.
                lease.acquire(now);
            }
            return;
        }
        if (terminating || broken || jumped) {
            running.stop();
        } else if (grant != null
                && !began
                && lease.tryStart(now, settings.terminationNanos()) != null) {
            began = true;
            running.extendUntil(grant.expiresAtNanos());
            log.accept("lease " + name + ": the command begins, token=" + grant.token());
        }
        String last = running.pollReport(now);
        if (last != null) {
            running = null;
            ended(last);
        }
    }

    private void ended(String last) {
        log.accept(
                "lease "
                        + name
                        + ": the command is over, "
                        + (last.isEmpty() ? "its guardian was killed" : last));
        if (last.startsWith(Guardian.ENDED)) {
            status = Integer.parseInt(last.substring(Guardian.ENDED.length()));
            if (status == 0) {
                release();
            }
        } else if (last.equals(Guardian.NO_COMMAND)) {
            status = EXIT_COMMAND_NOT_STARTED;
            release();
        } else if (last.isEmpty()) {
            status = EXIT_GUARDIAN_LOST;
        } else if (!terminating && !broken) {
            // Its guardian may have ended it, as it had to, though the lease lasted: others come
            // first.
            release();
            lease.acquire(clock.nanoTime());
        }
    }

    private void release() {
        grant = null;
        lease.release(clock.nanoTime());
    }

    /**
     * Waits for a moment until the store knows that the lease is free: else the next one waits its
     * term.
     */
    private void leave() throws InterruptedException {
        long by = clock.nanoTime() + LEAVE;
        for (long now = clock.nanoTime();
                lease.isReleasePending() && now < by;
                now = clock.nanoTime()) {
            Runnable task = tasks.poll(Math.min(LOOK, by - now), TimeUnit.NANOSECONDS);
            if (task != null) {
                task.run();
            }
            lease.onTimer(clock.nanoTime());
        }
        say();
        store.close();
    }

    /** A line for each change of the record's holder, and of the state. */
    private void say() {
        VersionedLease seen = lease.latestRecord();
        String record =
                seen == null
                        ? ""
                        : "holder="
                                + seen.holder()
                                + " token="
                                + seen.token()
                                + " released="
                                + seen.released();
        if (!record.equals(toldRecord)) {
            toldRecord = record;
            log.accept("lease " + name + ": record " + record);
        }
        LeaseState state = lease.state();
        if (state != toldState) {
            toldState = state;
            log.accept(
                    "lease "
                            + name
                            + ": state="
                            + state.logWord()
                            + " why="
                            + lease.cause().logWord()
                            + (grant == null ? "" : " token=" + grant.token()));
        }
    }

    @Override
    public void readRecord(long question) {
        store.read(question);
    }

    @Override
    public void writeRecord(long question, long expectedVersion, VersionedLease next) {
        store.write(question, expectedVersion, next);
    }

    @Override
    public void setTimer(long at) {
        wakeAt = at;
    }

    @Override
    public void onGranted(Grant next) {
        grant = next;
        if (running != null && began) {
            running.extendUntil(next.expiresAtNanos());
        }
    }

    @Override
    public void stopOperations(TransitionCause why) {
        grant = null;
        if (running != null) {
            running.stop();
        }
    }

    @Override
    public void setQueued(boolean in) {
        store.setQueued(in);
    }

    @Override
    public void onConnected() {
        lease.onConnected(clock.nanoTime());
    }

    @Override
    public void onDisconnected() {
        lease.onDisconnected(clock.nanoTime());
    }

    @Override
    public void onRead(long question, VersionedLease orNull) {
        lease.onRead(clock.nanoTime(), question, orNull);
    }

    @Override
    public void onWritten(long question, long version) {
        lease.onWritten(clock.nanoTime(), question, version);
    }

    @Override
    public void onConflict(long question) {
        lease.onConflict(clock.nanoTime(), question);
    }

    @Override
    public void onOutcomeUnknown(long question) {
        lease.onOutcomeUnknown(clock.nanoTime(), question);
    }

    @Override
    public void onRecordChanged() {
        lease.onRecordChanged(clock.nanoTime());
    }

    @Override
    public void onHeadOfQueue() {
        lease.onHeadOfQueue(clock.nanoTime());
    }

    @Override
    public void onRecordRecreated(String why) {
        broken = true;
        stopOperations(TransitionCause.TAKEN_OVER);
    }
}
