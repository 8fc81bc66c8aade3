package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Simulation;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/** The cores of an order server and the queue before them, first come, first served. */
final class CoreScheduler {
    /** What can be run; told when it begins whether it is to run at all. */
    interface Job {
        /** Nanoseconds of work of one core; below zero if it isn't to run after all. */
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
     * @param speed what a core does of its work at present; 1 when all is well
     */
    CoreScheduler(Simulation simulation, int cores, DoubleSupplier speed) {
        this.simulation = simulation;
        this.cores = cores;
        this.speed = speed;
    }

    void offer(Job job) {
        queue.add(job);
        pull();
    }

    int waiting() {
        return queue.size();
    }

    boolean isIdle() {
        return queue.isEmpty() && running.isEmpty();
    }

    /** Nothing that waits or runs comes to an end any more. */
    void stop() {
        stopped = true;
        queue.clear();
        running.forEach(Simulation.Event::cancel);
        running.clear();
    }

    private void pull() {
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
                                    pull();
                                });
                running.add(end[0]);
            }
        }
    }
}
