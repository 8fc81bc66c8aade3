package appleridge.http1;

import appleridge.request.LogEvent;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Decides whether new connections are accepted, or left waiting in the system while there is no
 * room. For a short window now and then they are accepted all the same, to be rejected, or because
 * accepting is about to end. Loop thread only.
 */
final class AcceptGate {
    /**
     * For so long connections wait where all open ones have a request open; then they are rejected.
     * A bit longer than silent ones may hesitate, so that these make room first.
     */
    private static final long MAX_WAIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(ClientTimeouts.MAX_HESITATION_MILLIS + 50);

    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The end of accepting is put off by so many windows, if each brings more connections. */
    private static final int MAX_FINAL_WINDOWS = 10;

    /** The cap by this is what a window may reject: there are some descriptors beyond the cap. */
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

    /** With the most connections that are held, and what says whether there is room for another. */
    AcceptGate(SidecarEventLoop loop, int maxConnections, BooleanSupplier hasRoom) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.hasRoom = hasRoom;
    }

    /** The listening channel; to be called before all else but {@link #pause}. */
    void attachTo(Channel listening) {
        listener = listening;
    }

    /**
     * A connection has been accepted, and what could make room for it has done so; returns whether
     * it is to be rejected.
     */
    boolean onAccepted() {
        acceptedCount++;
        boolean rejects = windowOpen && !hasRoom.getAsBoolean();
        if (rejects) {
            rejectionsLeft--;
        }
        return rejects;
    }

    /** Connections have come or gone. */
    void onConnectionsChanged() {
        if (hasRoom.getAsBoolean()) {
            lastRoomNanos = loop.nanoTime();
        }
        update();
    }

    /** Accepts if there is reason to, and else lets wait. */
    void update() {
        boolean accepts =
                !stopped && !paused && (windowOpen ? rejectionsLeft > 0 : hasRoom.getAsBoolean());
        if (accepts != accepting) {
            accepting = accepts;
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

    /** Times that accepting was paused or resumed. */
    long changeCount() {
        return changeCount;
    }

    /** Sets whether nothing is accepted for now, because another process accepts. */
    void pause(boolean whileOtherAccepts) {
        paused = whileOtherAccepts;
    }

    /** Accepts no more; what waits in the listening socket is another process's. */
    void stop() {
        ending = true;
        stopped = true;
        update();
    }

    /**
     * Rejects connections that have waited too long, in a window. Where others hold all connections
     * that there may be, a client would else only reach its own timeout; rejected, it may retry
     * here or elsewhere.
     */
    void rejectLongWaiting() {
        if (!hasRoom.getAsBoolean()
                && !ending
                && loop.nanoTime() - lastRoomNanos >= MAX_WAIT_NANOS) {
            openWindow(() -> {});
        }
    }

    /**
     * Ends accepting, when a window has brought no more connections: those that wait when the
     * listening socket closes are reset, though they may have sent a request, and after a stall or
     * at the cap that may be any number.
     *
     * @param closed run when the listening channel has closed
     */
    void end(Runnable closed) {
        ending = true;
        end(closed, MAX_FINAL_WINDOWS);
    }

    private void end(Runnable closed, int windows) {
        long before = acceptedCount;
        openWindow(
                () -> {
                    if (acceptedCount > before && windows > 1) {
                        end(closed, windows - 1);
                    } else {
                        listener.close().addListener(done -> closed.run());
                    }
                });
    }

    private void openWindow(Runnable then) {
        windowOpen = true;
        rejectionsLeft =
                Math.max(MIN_REJECTIONS_PER_WINDOW, maxConnections / REJECTIONS_CAP_DIVISOR);
        update();
        loop.schedule(
                WINDOW_NANOS,
                () -> {
                    windowOpen = false;
                    update();
                    then.run();
                });
    }
}
