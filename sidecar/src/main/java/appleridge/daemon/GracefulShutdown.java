package appleridge.daemon;

import appleridge.transport.SystemLog;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Shuts the sidecar down on SIGTERM.
 *
 * <ol>
 *   <li>The JVM runs the shutdown hook {@link #drainAndHalt} on a thread of its own. The hook notes
 *       the time first, because SIGKILL follows SIGTERM even if the event loop is late.
 *   <li>{@link Phase#DRAINING} begins on the event loop, in {@link Sidecar#drain(Runnable)}. Health
 *       checks report "not ready", requests get a shutdown deadline, and {@link
 *       appleridge.http1.ClientListener#drain} keeps serving the client connections for a while and
 *       then closes them. {@link HotRestart} tells the other processes of this sidecar.
 *   <li>{@link Phase#DRAINED} begins once no connection or request is open. The hook halts the JVM
 *       with status 0.
 *   <li>The hook halts the JVM after {@value #MAX_DRAIN_SECONDS} s at the latest.
 * </ol>
 *
 * <p>Each step on the event loop is logged as {@code drain.step}.
 */
final class GracefulShutdown {
    /** Bounds streamed bodies that are still open; other requests expire long before. */
    private static final long MAX_DRAIN_SECONDS = 10;

    /** The phases of a shutdown. */
    enum Phase {
        /** No shutdown was requested. */
        RUNNING,
        /** Not ready; open requests are still answered, and new ones while it accepts them. */
        DRAINING,
        /** Nothing is open: the process may exit. */
        DRAINED
    }

    private final EventLoopGroup eventLoop;

    /** Event loop only. */
    private Phase phase = Phase.RUNNING;

    /** Event loop only; null before {@link #attach}. */
    private Sidecar sidecar;

    private volatile boolean startFailed;

    /** Creates the shutdown for the one event loop of the process. */
    GracefulShutdown(EventLoopGroup eventLoop) {
        this.eventLoop = eventLoop;
    }

    /**
     * Installs the shutdown hook, so that SIGTERM drains. Must be called before the sidecar
     * listens: clients connect and send requests from then on, long before it reports that it is
     * ready.
     */
    void install() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndHalt, "drain"));
    }

    /**
     * Disables the hook, so that the JVM exits with the status of the failed start. Thread-safe.
     */
    void onStartFailed() {
        startFailed = true;
    }

    /**
     * Checks that the sidecar may still be created. Event loop only.
     *
     * @throws IllegalStateException if a shutdown has begun
     */
    void requireRunning() {
        if (phase != Phase.RUNNING) {
            throw new IllegalStateException("shutdown was requested during the start");
        }
    }

    /** Sets the sidecar that is to be drained. Event loop only. */
    void attach(Sidecar sidecar) {
        this.sidecar = sidecar;
    }

    /** The shutdown hook. A drain is no failure: the status is 0, not the signal's. */
    private void drainAndHalt() {
        if (startFailed) {
            // Halting here would replace the exit status of the failed start.
            return;
        }
        SystemLog.writeDirectly();
        CountDownLatch drained = new CountDownLatch(1);
        drain(drained::countDown);
        // The loop runs this after the first step of the drain, so the line means that the drain
        // has begun.
        eventLoop.execute(() -> SystemLog.logProcessEvent("draining"));
        try {
            drained.await(MAX_DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    /**
     * Drains the sidecar. The time until SIGKILL counts from this call, not from when the event
     * loop runs it. Thread-safe.
     *
     * @param whenDrained runs on the event loop once nothing is open
     */
    void drain(Runnable whenDrained) {
        Ticker ticker = eventLoop.next().ticker();
        long requestedAtNanos = ticker.nanoTime();
        eventLoop.execute(() -> begin(ticker.nanoTime() - requestedAtNanos, whenDrained));
    }

    private void begin(long requestedAgoNanos, Runnable whenDrained) {
        phase = Phase.DRAINING;
        if (sidecar == null) {
            end(whenDrained);
        } else {
            sidecar.drain(requestedAgoNanos, () -> end(whenDrained));
        }
    }

    private void end(Runnable whenDrained) {
        phase = Phase.DRAINED;
        whenDrained.run();
    }
}
