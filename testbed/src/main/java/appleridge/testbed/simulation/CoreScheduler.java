package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Simulation;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/** Runs jobs on the cores of an order server, first in, first out. */
final class CoreScheduler {
    /** A unit of work. */
    interface Job {
        /**
         * Starts the job. Returns its work in nanoseconds of one core; negative to skip the job.
         */
        long start();

        void done();
    }

    private final Simulation simulation;
    private final int cores;
    private final DoubleSupplier speed;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final List<Simulation.Event> running = new ArrayList<>();
    private boolean stopped;

    /**
     * @param speed current speed of a core as a fraction of its normal speed
     */
    CoreScheduler(Simulation simulation, int cores, DoubleSupplier speed) {
        this.simulation = simulation;
        this.cores = cores;
        this.speed = speed;
    }

    void offer(Job job) {
        queue.add(job);
        startWaiting();
    }

    int waiting() {
        return queue.size();
    }

    boolean isIdle() {
        return queue.isEmpty() && running.isEmpty();
    }

    /** Drops waiting and running jobs; none of them completes. */
    void stop() {
        stopped = true;
        queue.clear();
        running.forEach(Simulation.Event::cancel);
        running.clear();
    }

    private void startWaiting() {
        while (!stopped && running.size() < cores && !queue.isEmpty()) {
            Job job = queue.poll();
            long work = job.start();
            if (work >= 0 && !stopped) {
                Simulation.Event[] end = new Simulation.Event[1];
                end[0] =
                        simulation.after(
                                (long) (work / speed.getAsDouble()),
                                () -> {
                                    running.remove(end[0]);
                                    job.done();
                                    startWaiting();
                                });
                running.add(end[0]);
            }
        }
    }
}
