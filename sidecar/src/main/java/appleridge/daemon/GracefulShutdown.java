package appleridge.daemon;

import appleridge.transport.SystemLog;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * What happens on SIGTERM.
 *
 * <ol>
 *   <li>The JVM runs the shutdown hook, on a thread of its own: {@link #drainAndHalt}. It notes the
 *       time, for SIGKILL follows SIGTERM whether or not the event loop is late.
 *   <li>On the event loop {@link Phase#DRAINING} begins: {@link Sidecar#drain(Runnable)}. Health
 *       checks say "not ready", requests get a shutdown deadline, and clients' connections are
 *       served on for a while and then ended, by {@link appleridge.http1.ClientListener#drain}.
 *       Other processes of this sidecar learn of it from {@link HotRestart}.
 *   <li>Once nothing is open any more: {@link Phase#DRAINED}. The hook halts the JVM with status 0.
 *   <li>If that takes longer than {@value #MAX_DRAIN_SECONDS} s, the hook halts all the same.
 * </ol>
 *
 * <p>Each step on the event loop is logged as {@code drain.step}.
 */
final class GracefulShutdown {
    /** Bounds streams that are still open; requests expire long before. */
    private static final long MAX_DRAIN_SECONDS = 10;

    /** How far the shutdown is. */
    enum Phase {
        /** No shutdown was asked for. */
        RUNNING,
        /** Not ready any more; open requests, and new ones while it accepts, are still answered. */
        DRAINING,
        /** Nothing is open: the process may end. */
        DRAINED
    }

    private final EventLoopGroup eventLoop;

    /** Event loop only. */
    private Phase phase = Phase.RUNNING;

    /** Event loop only; null before it is made. */
    private Sidecar sidecar;

    private volatile boolean startFailed;

    /** With the one event loop of the process. */
    GracefulShutdown(EventLoopGroup eventLoop) {
        this.eventLoop = eventLoop;
    }

    /**
     * From now on SIGTERM drains. To be called before anything listens: from then on clients
     * connect and ask, long before the sidecar says that it is ready.
     */
    void install() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndHalt, "drain"));
    }

    /** The start failed, so the JVM ends with the status of that. On any thread. */
    void onStartFailed() {
        startFailed = true;
    }

    /**
     * The sidecar is about to be made. Event loop only.
     *
     * @throws IllegalStateException if the shutdown has begun
     */
    void requireRunning() {
        if (phase != Phase.RUNNING) {
            throw new IllegalStateException("ended before it began");
        }
    }

    /** What is to be drained. Event loop only. */
    void attach(Sidecar sidecar) {
        this.sidecar = sidecar;
    }

    /** The shutdown hook: an orderly end is no failure, so the status is 0 and not the signal's. */
    private void drainAndHalt() {
        if (startFailed) {
            // To halt here would hide the status with which a failed start ends the process.
            return;
        }
        SystemLog.writeDirectly();
        CountDownLatch drained = new CountDownLatch(1);
        drain(drained::countDown);
        // Runs on the loop after the drain's first step, so this line means that the drain has
        // begun.
        eventLoop.execute(() -> SystemLog.logProcessEvent("draining"));
        try {
            drained.await(MAX_DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    /**
     * Drains. The time up to SIGKILL runs from this call, not from when the event loop gets to it.
     * On any thread.
     *
     * @param whenDrained runs on the event loop
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
