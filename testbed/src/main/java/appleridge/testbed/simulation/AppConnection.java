package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayDeque;

/**
 * A usual client's connection to a sidecar: mostly one request at a time, at times a few behind one
 * another.
 */
final class AppConnection implements SimSocket.Events {
    private static final int BULK = 1 << 16;
    private static final int SIP = 60;
    private static final long SIP_PAUSE = 4 * Site.MS;
    private static final long CONNECT_TIMEOUT = Site.SECOND;
    private static final int MOST_BEHIND = 3;

    private final Day day;
    private final Application application;
    private final ProcessSlot seat;
    private final HttpReader reader = new HttpReader(true);
    private final ArrayDeque<PendingAttempt> open = new ArrayDeque<>(2);

    /** How many bytes of earlier requests were written when each of the open ones began. */
    private final ArrayDeque<Long> begunAt = new ArrayDeque<>(2);

    private SimSocket socket;
    private Player player;
    private PendingAttempt first;
    private Simulation.Event connectEnd;
    private Simulation.Event sip;
    private long openedAt;
    private boolean answeredOnce;
    private boolean spent;
    private boolean closed;
    private boolean stalled;
    private boolean troubled;

    AppConnection(Day day, Application application, ProcessSlot seat, PendingAttempt first) {
        this.day = day;
        this.application = application;
        this.seat = seat;
        this.first = first;
    }

    ProcessSlot seat() {
        return seat;
    }

    SimSocket socket() {
        return socket;
    }

    /** Connects; false if that can't even begin. */
    boolean connect() {
        try {
            openedAt = day.now();
            socket = application.host().connect(seat.address(), this);
            player = new Player(day.simulation, socket);
            connectEnd = day.after(CONNECT_TIMEOUT, () -> failed(new IOException("no answer")));
            return true;
        } catch (IOException e) {
            closed = true;
            return false;
        }
    }

    /** Whether it stands open with nothing asked on it. */
    boolean isFree() {
        return !closed && first == null && open.isEmpty() && !spent && !stalled;
    }

    /** Whether its client asked once and only keeps it. */
    boolean isSpent() {
        return !closed && spent && open.isEmpty();
    }

    /** The id of the first request that is open on it, or null. */
    String openId() {
        return open.isEmpty() ? null : open.peek().id;
    }

    /** Whether this one may be asked behind the others: it must not be due before them. */
    boolean takesBehind(long until) {
        return !closed
                && first == null
                && !spent
                && !stalled
                && !open.isEmpty()
                && open.size() < MOST_BEHIND
                && player.isDone()
                && !open.peekLast().wish.slowReader
                && open.peekLast().until() <= until;
    }

    void ask(PendingAttempt asking) {
        open.add(asking);
        begunAt.add(socket.bytesWritten());
        asking.begins(this);
        if (troubled) {
            tellTroubled(asking);
        }
        player.play(asking.script(), asking::written);
    }

    // ---- what the client does of itself

    /** Closes the connection, whatever is open on it. */
    void leave() {
        if (!closed) {
            close();
            giveUpAll();
        }
    }

    /** Resets it. */
    void reset() {
        if (!closed) {
            closed = true;
            player.stop();
            socket.reset();
            application.closed(this);
            giveUpAll();
        }
    }

    /** Ends its sending: it counts as gone, and looks no longer for what it asked. */
    void end() {
        if (!closed) {
            spent = true;
            player.stop();
            socket.shutdownOutput();
            giveUpAll();
            day.after(Site.SECOND, this::leave);
        }
    }

    /** Reads no more from now on. */
    void stall() {
        troubled();
        stalled = true;
        if (socket.peer() != null) {
            socket.fault(SimSocket.Fault.STALL_READS);
        }
    }

    /**
     * Something is done to it for good: what happens to requests on it is not the sidecar's fault.
     */
    void troubled() {
        troubled = true;
        open.forEach(this::tellTroubled);
    }

    private void tellTroubled(PendingAttempt asking) {
        // What the trouble brings about comes at this very instant, and is not to come before it.
        day.evidence.clientLinkTroubled(seat.name(), asking.id, day.now() - 1, Long.MAX_VALUE);
    }

    private void giveUpAll() {
        while (!open.isEmpty()) {
            open.poll().gaveUp();
        }
        begunAt.clear();
    }

    private void close() {
        closed = true;
        if (connectEnd != null) {
            connectEnd.cancel();
        }
        player.stop();
        socket.close();
        application.closed(this);
    }

    // ---- what it hears

    @Override
    public void connected() {
        connectEnd.cancel();
        PendingAttempt begins = first;
        first = null;
        ask(begins);
    }

    @Override
    public void failed(IOException why) {
        if (!closed) {
            PendingAttempt waiting = first;
            first = null;
            close();
            if (why instanceof ConnectException) {
                day.evidence.connectRefused(seat.name(), openedAt);
            }
            if (waiting != null) {
                seat.unreachable();
                waiting.unsent();
            }
        }
    }

    @Override
    public void writable() {
        if (!closed) {
            player.writable();
        }
    }

    @Override
    public void readable() {
        if (closed || stalled) {
            return;
        }
        if (!open.isEmpty() && open.peek().wish.slowReader) {
            if (sip == null) {
                sip =
                        day.after(
                                SIP_PAUSE,
                                () -> {
                                    sip = null;
                                    if (!closed && !stalled) {
                                        read(SIP);
                                        if (!closed && socket.isReadable()) {
                                            readable();
                                        }
                                    }
                                });
            }
            return;
        }
        while (!closed && socket.isReadable()) {
            // Where several answers may have come, each byte alone tells when it was sent.
            if (!read(open.size() > 1 ? reader.missingBytes() : BULK)) {
                return;
            }
        }
    }

    /** Reads once; false if nothing is there to be read on. */
    private boolean read(int most) {
        try {
            int read = reader.read(socket, most);
            if (read < 0 && !answers()) {
                broke(reader.hasPartialMessage() ? "cut" : "closed");
            } else if (read > 0) {
                answers();
            }
            return read > 0;
        } catch (IOException e) {
            broke("reset");
            return false;
        }
    }

    /** Takes the answers that are whole; false if the last thing read was none. */
    private boolean answers() {
        boolean any = false;
        while (!closed && reader.advance()) {
            if (reader.isBroken() || open.isEmpty()) {
                broke("unreadable");
                return true;
            }
            any = true;
            answer();
        }
        return any;
    }

    private void answer() {
        int status = reader.status();
        if (status < 200) {
            reader.next();
            return;
        }
        String body = reader.body();
        long retryAfter = retryAfter(reader.header("retry-after"));
        boolean last = "close".equalsIgnoreCase(reader.header("connection"));
        reader.next();
        PendingAttempt done = open.poll();
        begunAt.poll();
        answeredOnce = true;
        long sentAt = socket.sentAt();
        if (last && open.isEmpty()) {
            close();
        } else if (done.wish.asksOnce) {
            spent = true;
        }
        done.answered(status, body, retryAfter, sentAt);
        if (!closed && isFree()) {
            application.free(this);
        }
    }

    /** -1 for none; what can't be read is for ever. */
    private static long retryAfter(String text) {
        try {
            return text == null
                    ? -1
                    : Math.max(0, Math.round(Double.parseDouble(text) * Site.SECOND));
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    /** Ended by the other side, or by the network. */
    private void broke(String how) {
        if (closed) {
            return;
        }
        boolean begun = reader.hasPartialMessage();
        long read = socket.peer() == null ? 0 : socket.peer().bytesRead();
        close();
        while (!open.isEmpty()) {
            boolean crossed = answeredOnce && !begun && read <= begunAt.peek();
            begunAt.poll();
            open.poll().broken(how, begun, crossed);
            begun = false;
        }
    }
}
