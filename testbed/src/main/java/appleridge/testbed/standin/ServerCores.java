package appleridge.testbed.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * The cores of a server and their queue. Work is simulated by timers; no processor time is used.
 */
final class ServerCores {
    private record Job(double work, Runnable done) {}

    private final EventLoop loop;
    private final int cores;
    private final int queueLimit;
    private final DoubleSupplier speed;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private int busy;
    private boolean stopped;

    /** At most `queueLimit` jobs wait; `speed` is the current speed of a core, 1 being normal. */
    ServerCores(EventLoop loop, int cores, int queueLimit, DoubleSupplier speed) {
        this.loop = loop;
        this.cores = cores;
        this.queueLimit = queueLimit;
        this.speed = speed;
    }

    boolean full() {
        return waiting.size() >= queueLimit;
    }

    int queued() {
        return waiting.size();
    }

    void add(double work, Runnable done) {
        Job job = new Job(work, done);
        if (busy < cores) {
            start(job);
        } else {
            waiting.add(job);
        }
    }

    private void start(Job job) {
        busy++;
        loop.schedule(
                () -> end(job), (long) (job.work() / speed.getAsDouble()), TimeUnit.NANOSECONDS);
    }

    private void end(Job job) {
        if (stopped) {
            return;
        }
        busy--;
        if (!waiting.isEmpty()) {
            start(waiting.poll());
        }
        job.done().run();
    }

    /** Discards all waiting and running jobs. */
    void stop() {
        stopped = true;
        waiting.clear();
    }
}
