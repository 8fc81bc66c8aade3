package appleridge.http1;

import appleridge.request.LogEvent;
import appleridge.transport.LoopActivity;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Decides whether new client connections are accepted or stay in the kernel's listen backlog. At
 * the connection limit they stay there, except during short windows in which connections are
 * accepted over the limit: to reject those that have waited too long, or to empty the backlog
 * before the listening socket closes. Event loop only.
 */
final class AcceptGate {
    /**
     * How long connections wait in the backlog while no open connection can be evicted; then they
     * are rejected. Longer than the time after which a silent connection may be evicted, so that
     * silent connections make room first.
     */
    private static final long MAX_WAIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(ClientTimeouts.MAX_HESITATION_MILLIS + 50);

    /** The duration of a window. */
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The maximum number of windows before the listening socket closes regardless of arrivals. */
    private static final int MAX_FINAL_WINDOWS = 10;

    /**
     * A window may accept the connection limit divided by this for rejection, from the descriptors
     * that are reserved beyond the limit.
     */
    private static final int REJECTIONS_CAP_DIVISOR = 16;

    private static final int MIN_REJECTIONS_PER_WINDOW = 4;

    private final SidecarEventLoop loop;
    private final int maxConnections;
    private final BooleanSupplier hasRoom;
    private Channel listener;
    private boolean windowOpen;
    private int rejectionsLeft;
    private boolean ending;
    private boolean stopped;
    private boolean paused;
    private boolean accepting;
    private long acceptedCount;
    private long changeCount;
    private long lastRoomNanos;

    /** Whether nothing was left in the backlog when it was last accepted from. */
    private boolean backlogEmptied;

    /** Whether the backlog has been empty since accepting was resumed. */
    private boolean openingKnown;

    /** A time before which none of the connections in the backlog had been opened. */
    private long openedAfterNanos;

    /**
     * Creates a gate, to be attached to a listener.
     *
     * @param maxConnections the connection limit, from which the rejections per window follow
     * @param hasRoom whether the open connections are within the limit in effect
     */
    AcceptGate(SidecarEventLoop loop, int maxConnections, BooleanSupplier hasRoom) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.hasRoom = hasRoom;
    }

    /**
     * Sets the listening channel. Must be called before all other methods except {@link #pause}.
     */
    void attachTo(Channel listening) {
        listener = listening;
    }

    /**
     * Counts an accepted connection, after evictions have made room for it where possible. Returns
     * whether the connection must be rejected.
     */
    boolean onAccepted() {
        acceptedCount++;
        boolean rejects = windowOpen && !hasRoom.getAsBoolean();
        if (rejects) {
            rejectionsLeft--;
        }
        return rejects;
    }

    /**
     * Records the end of an accept.
     *
     * @param emptied whether it left nothing in the backlog
     */
    void onAcceptComplete(boolean emptied) {
        backlogEmptied = emptied && accepting;
    }

    /** Records that nothing is accepted for a while, so that connections wait in the backlog. */
    void onAcceptFailed() {
        backlogEmptied = false;
        openingKnown = false;
    }

    /**
     * How long ago at most a connection that is being accepted has been opened: since the event
     * loop last found the backlog empty.
     */
    long openedWithinNanos() {
        if (backlogEmptied) {
            backlogEmptied = false;
            openingKnown = true;
            openedAfterNanos = loop.nanoTime() - loop.maxUnreadInputNanos();
        }
        return openingKnown ? loop.nanoTime() - openedAfterNanos : LoopActivity.UNKNOWN_NANOS;
    }

    /** Updates the gate after the open connections or their limit have changed. */
    void onConnectionsChanged() {
        if (hasRoom.getAsBoolean()) {
            lastRoomNanos = loop.nanoTime();
        }
        update();
    }

    /** Resumes or pauses accepting, according to the current state. */
    void update() {
        boolean accepts =
                !stopped && !paused && (windowOpen ? rejectionsLeft > 0 : hasRoom.getAsBoolean());
        if (accepts != accepting) {
            accepting = accepts;
            backlogEmptied = false;
            openingKnown = false;
            changeCount++;
            logChange(accepts);
        }
        listener.config().setAutoRead(accepts);
    }

    private void logChange(boolean accepts) {
        loop.log()
                .event(
                        LogEvent.ACCEPT_GATE,
                        () ->
                                "accepts="
                                        + accepts
                                        + " stopped="
                                        + stopped
                                        + " paused="
                                        + paused
                                        + " window="
                                        + windowOpen
                                        + " accepted="
                                        + acceptedCount);
    }

    /** The number of times that accepting was paused or resumed. */
    long changeCount() {
        return changeCount;
    }

    /**
     * Sets whether accepting is paused because another process of this sidecar accepts. Takes
     * effect at the next update.
     */
    void pause(boolean otherProcessAccepts) {
        paused = otherProcessAccepts;
    }

    /**
     * Stops accepting for good and leaves the backlog of the listening socket to another process.
     */
    void stop() {
        ending = true;
        stopped = true;
        update();
    }

    /**
     * Opens a window to reject connections that have waited too long in the backlog. A client that
     * is rejected can retry here or elsewhere; otherwise, while other clients hold all connections,
     * it would learn nothing until its own timeout.
     */
    void rejectLongWaiting() {
        if (!hasRoom.getAsBoolean()
                && !ending
                && loop.nanoTime() - lastRoomNanos >= MAX_WAIT_NANOS) {
            openWindow(() -> {});
        }
    }

    /**
     * Closes the listening channel once a window has brought no more connections. The kernel resets
     * connections that are in the backlog when the socket closes, even if they have sent a request,
     * and after a stall or at the connection limit there may be any number of them.
     *
     * @param closed runs when the listening channel has closed
     */
    void end(Runnable closed) {
        ending = true;
        end(closed, MAX_FINAL_WINDOWS);
    }

    private void end(Runnable closed, int windowsLeft) {
        long before = acceptedCount;
        openWindow(
                () -> {
                    if (acceptedCount > before && windowsLeft > 1) {
                        end(closed, windowsLeft - 1);
                    } else {
                        listener.close().addListener(done -> closed.run());
                    }
                });
    }

    private void openWindow(Runnable onClosed) {
        windowOpen = true;
        rejectionsLeft =
                Math.max(MIN_REJECTIONS_PER_WINDOW, maxConnections / REJECTIONS_CAP_DIVISOR);
        update();
        loop.schedule(
                WINDOW_NANOS,
                () -> {
                    windowOpen = false;
                    update();
                    onClosed.run();
                });
    }
}
