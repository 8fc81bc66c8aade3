package appleridge.testbed.campaign;

import appleridge.testbed.invariants.Counts;
import appleridge.testbed.invariants.Coverage;
import appleridge.testbed.invariants.Verdict;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simulation.Plan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Many days on all cores; what comes out does not depend on how many there are, nor on the order of
 * the days.
 */
final class Campaign {
    private static final int TOLD_EACH = 500;

    /**
     * What came out.
     *
     * @param bad the days on which a rule broke, by their seeds
     * @param nanos how long it took
     */
    record Result(
            long seeds,
            List<Verdict> bad,
            long digest,
            Counts counts,
            Coverage coverage,
            long simulatedNanos,
            long nanos) {
        long brokenRules() {
            return bad.stream().mapToLong(each -> each.violations().size()).sum();
        }

        String line() {
            return seeds
                    + " seeds, "
                    + brokenRules()
                    + " broken rules, digest "
                    + Long.toHexString(digest)
                    + ", "
                    + simulatedNanos / Math.max(1, nanos)
                    + " simulated seconds a second";
        }
    }

    private final long from;
    private final long to;
    private final int threads;
    private final AtomicLong next;
    private BiConsumer<Long, Long> progress = (done, all) -> {};
    private final List<Verdict> bad = new ArrayList<>();
    private final Coverage coverage = new Coverage();
    private Counts counts = Counts.NONE;
    private long digest;
    private long simulated;
    private long done;

    Campaign(long from, long to, int threads) {
        this.from = from;
        this.to = to;
        this.threads = threads;
        this.next = new AtomicLong(from);
    }

    void onProgress(BiConsumer<Long, Long> told) {
        progress = told;
    }

    Result run() {
        // Netty logs what reaches the end of a pipeline, with a stack trace each time.
        Logger.getLogger("io.netty").setLevel(Level.OFF);
        long start = WallTime.nanos();
        List<Thread> workers = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread worker = new Thread(this::work, "days-" + i);
            workers.add(worker);
            worker.start();
        }
        for (Thread each : workers) {
            join(each);
        }
        bad.sort(Comparator.comparingLong(Verdict::seed));
        return new Result(
                to - from + 1, bad, digest, counts, coverage, simulated, WallTime.nanos() - start);
    }

    private static void join(Thread worker) {
        try {
            worker.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void work() {
        for (long seed = next.getAndIncrement(); seed <= to; seed = next.getAndIncrement()) {
            take(DayPlayer.playOrCrash(Plan.draw(seed)));
        }
    }

    private synchronized void take(Verdict verdict) {
        if (!verdict.passed()) {
            bad.add(verdict);
        }
        coverage.merge(verdict.coverage());
        counts = counts.plus(verdict.counts());
        digest += SeededRandom.mix(verdict.seed() * 31 + verdict.digest());
        simulated += verdict.simulatedNanos();
        if (++done % TOLD_EACH == 0) {
            progress.accept(done, to - from + 1);
        }
    }
}
