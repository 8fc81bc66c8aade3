package appleridge.http1;

import appleridge.request.LogEvent;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The connections that wait in the system while there is no room for them here. Now and then what
 * waits is taken in all the same: to be told that there is no room, or because accepting is about
 * to end.
 */
final class AcceptGate {
    /**
     * For so long connections wait where all there are have a request open; then they are told. A
     * bit longer than silent ones may hesitate, so that these make room first.
     */
    private static final long PATIENCE =
            TimeUnit.MILLISECONDS.toNanos(ClientTimeouts.HESITATES + 50);

    /** For so long, in nanoseconds, what waits is taken in at a time. */
    private static final long LOOK = TimeUnit.MILLISECONDS.toNanos(20);

    /** The end of accepting is put off for so many looks, if each brings more. */
    private static final int MOST_LOOKS = 10;

    /** Of the cap, for those told in one look: the process has some descriptors beyond the cap. */
    private static final int TOLD_PART = 16;

    private static final int LEAST_TOLD = 4;

    private final SidecarEventLoop loop;
    private final int cap;
    private final BooleanSupplier room;
    private Channel listener;
    private boolean looking;
    private int tells;
    private boolean ends;
    private boolean stopped;
    private boolean waits;
    private long accepted;
    private boolean accepting;
    private long changes;
    private long roomAt;

    /** With the most connections that are held, and what says whether there is room for another. */
    AcceptGate(SidecarEventLoop loop, int cap, BooleanSupplier room) {
        this.loop = loop;
        this.cap = cap;
        this.room = room;
    }

    void listener(Channel listens) {
        listener = listens;
    }

    /**
     * One has been accepted, and what could make room has done so; whether it must be told of none.
     */
    boolean tells() {
        accepted++;
        boolean tell = looking && !room.getAsBoolean();
        if (tell) {
            tells--;
        }
        return tell;
    }

    /** To be called when connections have come or gone. */
    void changed() {
        if (room.getAsBoolean()) {
            roomAt = loop.nanoTime();
        }
        accept();
    }

    /** Accepts if there is reason to, and else lets wait. */
    void accept() {
        boolean accepts = !stopped && !waits && (looking ? tells > 0 : room.getAsBoolean());
        if (accepts != accepting) {
            accepting = accepts;
            changes++;
            loop.log()
                    .event(
                            LogEvent.ACCEPT_GATE,
                            () ->
                                    "accepts="
                                            + accepts
                                            + " stopped="
                                            + stopped
                                            + " waits="
                                            + waits
                                            + " looking="
                                            + looking
                                            + " accepted="
                                            + accepted);
        }
        listener.config().setAutoRead(accepts);
    }

    /** Times that accepting was paused or resumed. */
    long changes() {
        return changes;
    }

    /** Whether nothing is accepted for now, for another process does. */
    void waits(boolean forNow) {
        waits = forNow;
    }

    /**
     * Accepts no more, and leaves the listening socket as it is: what waits there is another
     * process's.
     */
    void stop() {
        ends = true;
        stopped = true;
        accept();
    }

    /**
     * Danger: where bad clients hold all connections there may be, those that wait would hear
     * nothing, and find out by their own time limit. Told of it, they may ask again or elsewhere;
     * nothing was sent on.
     */
    void tellWhoWaits() {
        if (!room.getAsBoolean() && !ends && loop.nanoTime() - roomAt >= PATIENCE) {
            look(() -> {});
        }
    }

    /**
     * Ends accepting. Danger: what waits when the listening socket closes is reset, and may have
     * asked; after the loop stood still, or at the cap, that is any number. So it closes when a
     * look has brought no more.
     */
    void end(Runnable closed) {
        ends = true;
        end(closed, MOST_LOOKS);
    }

    private void end(Runnable closed, int looks) {
        long before = accepted;
        look(
                () -> {
                    if (accepted > before && looks > 1) {
                        end(closed, looks - 1);
                    } else {
                        listener.close().addListener(done -> closed.run());
                    }
                });
    }

    private void look(Runnable then) {
        looking = true;
        tells = Math.max(LEAST_TOLD, cap / TOLD_PART);
        accept();
        loop.after(
                LOOK,
                () -> {
                    looking = false;
                    accept();
                    then.run();
                });
    }
}
