package appleridge.testbed.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * A server's cores and the queue before them. Work is time that passes; no processor is kept busy.
 */
final class ServerCores {
    private record Job(double work, Runnable done) {}

    private final EventLoop loop;
    private final int cores;
    private final int places;
    private final DoubleSupplier speed;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private int busy;
    private boolean stopped;

    /** With how many may wait, and how fast each core is at a moment (1 is usual). */
    ServerCores(EventLoop loop, int cores, int places, DoubleSupplier speed) {
        this.loop = loop;
        this.cores = cores;
        this.places = places;
        this.speed = speed;
    }

    boolean full() {
        return waiting.size() >= places;
    }

    int queued() {
        return waiting.size();
    }

    void add(double work, Runnable done) {
        Job job = new Job(work, done);
        if (busy < cores) {
            begin(job);
        } else {
            waiting.add(job);
        }
    }

    private void begin(Job job) {
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
            begin(waiting.poll());
        }
        job.done().run();
    }

    /** Whatever waits or runs comes to nothing. */
    void stop() {
        stopped = true;
        waiting.clear();
    }
}
