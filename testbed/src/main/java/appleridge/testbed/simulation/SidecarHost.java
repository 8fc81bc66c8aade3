package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import java.util.function.IntConsumer;

/**
 * Controls the processes of one sidecar. All methods are called within the simulation's events.
 * After {@link #kill} the world closes the sockets of the process itself, with {@link Host#die}.
 */
public interface SidecarHost {
    /** Mean nanoseconds that an event loop takes for a task, a socket event and a clock reading. */
    record Costs(long task, long read, long clock) {}

    /**
     * A process to start.
     *
     * @param life the number of earlier processes of this name
     * @param config the text of its configuration file
     * @param host where it listens and connects; it has no sockets of an earlier process
     * @param chance the random stream of its event loop
     * @param exited to be called once with the exit status if the process ends by itself, after its
     *     sockets are closed
     */
    record Process(
            String name,
            int life,
            String config,
            Host host,
            SeededRandom chance,
            Costs costs,
            IntConsumer exited) {}

    /** Starts a process; no other one of this name is running. */
    void start(Process process);

    /** Ends the process at once, as by SIGKILL. */
    void kill();

    /** Sends SIGTERM. */
    void term();

    /** Replaces the text of the configuration file and sends SIGHUP. */
    void hup(String config);

    /** Pauses the process for this long. */
    void pause(long nanos);

    /** Steps the wall clock of the process forward; backward for a negative value. */
    void stepWall(long nanos);
}
