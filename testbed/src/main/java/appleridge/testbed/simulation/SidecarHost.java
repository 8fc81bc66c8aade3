package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import java.util.function.IntConsumer;

/**
 * The real sidecar behind one name, as the world handles its processes. Everything is called from
 * within the simulation's events. The world ends the sockets of a killed process itself ({@link
 * PolicyHost#die}), after {@link #kill}.
 */
public interface SidecarHost {
    /**
     * What loops cost: nanoseconds on average of a task, a socket's event and a look at the clock.
     */
    record Costs(long task, long read, long clock) {}

    /**
     * A process that begins.
     *
     * @param life counts the processes of this name from 0
     * @param config the file's text
     * @param host where it listens and connects; dead before, if it was killed
     * @param chance for its loop
     * @param exited to be called once, with the status, if it ends by itself; its sockets are gone
     *     by then
     */
    record Process(
            String name,
            int life,
            String config,
            Host host,
            SeededRandom chance,
            Costs costs,
            IntConsumer exited) {}

    /** A process begins; there is none of this name. */
    void start(Process process);

    /** SIGKILL: nothing of it runs any more. */
    void kill();

    /** SIGTERM. */
    void term();

    /** The file has been replaced by this text; SIGHUP. */
    void hup(String config);

    /** Nothing of it runs for so long. */
    void pause(long nanos);

    /** Its wall clock steps by so much; negative: back. */
    void stepWall(long nanos);
}
