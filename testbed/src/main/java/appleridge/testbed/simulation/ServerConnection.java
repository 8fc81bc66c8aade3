package appleridge.testbed.simulation;

import appleridge.testbed.invariants.Message;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;

/** A connection to an order server: one request at a time is read, and answered. */
final class ServerConnection implements SimSocket.Events {
    private static final int BULK = 1 << 16;

    /** What surely travels in one piece. */
    private static final int ONE_SEGMENT = 1400;

    /** Within an answer's first line. */
    private static final int CUT = 12;

    /**
     * A request that has come whole.
     *
     * @param id empty for none
     * @param deadline its X-Deadline; 0 without one that can be read
     * @param dueAt when that is over; Long.MAX_VALUE without one
     * @param first whether it is the first on its connection
     */
    record Received(
            String id,
            Message message,
            long firstByteSentAt,
            long lastByteSentAt,
            long deadline,
            long dueAt,
            boolean first) {}

    private final Day day;
    private final OrderServer server;
    private final SimSocket socket;
    private final boolean surplus;
    private final HttpReader reader = new HttpReader(false);
    private final Player player;
    private Simulation.Event idleEnd;
    private long firstByteSentAt;
    private boolean begunTold;
    private boolean early;
    private boolean earlyRuns;
    private boolean busy;
    private boolean first = true;
    private boolean stopped;

    /** The last answer, if it was a usual one; else null. */
    private String last;

    ServerConnection(Day day, OrderServer server, SimSocket socket, boolean surplus) {
        this.day = day;
        this.server = server;
        this.socket = socket;
        this.surplus = surplus;
        this.player = new Player(day.simulation, socket);
        socket.events(this);
        rest();
    }

    /** Who asks on it. */
    String sidecar() {
        return socket.peerHost().name();
    }

    /** Whether there were as many as the server holds before it came. */
    boolean isSurplus() {
        return surplus;
    }

    boolean isOpen() {
        return !stopped && socket.isOpen();
    }

    /** Whether a request is open on it, or its answer not yet written. */
    boolean isBusy() {
        return busy || !player.isDone();
    }

    void stop() {
        stopped = true;
        player.stop();
        awake();
    }

    /** Whether it was idle, and is closed. */
    boolean closeIfIdle() {
        boolean idle = !isBusy() && !reader.begun();
        if (idle) {
            close();
        }
        return idle;
    }

    SimSocket sidecarsEnd() {
        return socket.peer();
    }

    private void close() {
        stop();
        socket.close();
        server.closed(this);
    }

    @Override
    public void readable() {
        try {
            while (isOpen() && socket.isReadable()) {
                // The first byte alone, to learn when it was sent.
                boolean begins = !reader.begun();
                int read = reader.read(socket, begins ? 1 : BULK);
                if (read <= 0) {
                    if (read < 0) {
                        close();
                    }
                    return;
                }
                if (begins) {
                    firstByteSentAt = socket.sentAt();
                    awake();
                }
                proceed();
            }
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public void writable() {
        player.writable();
    }

    /** Reads on, unless an answer is still owed. */
    private void proceed() {
        if (busy || !player.isDone()) {
            return;
        }
        boolean ended = reader.advance();
        if (reader.isBroken()) {
            close();
            return;
        }
        tellBegun();
        if (ended) {
            take();
        } else if (!early && reader.hasHead()) {
            answerEarly();
        }
    }

    private void tellBegun() {
        if (!begunTold) {
            String id = reader.partialHeader("x-request-id");
            if (id != null && !id.isEmpty()) {
                begunTold = true;
                day.evidence.serverReadId(
                        server.uid(),
                        server.life(),
                        sidecar(),
                        day.asked.name(id, method()),
                        firstByteSentAt);
            }
        }
    }

    private String method() {
        return reader.hasHead() ? reader.word(0) : reader.firstPartialWord();
    }

    private void answerEarly() {
        String id = reader.header("x-request-id");
        if (id != null
                && day.asked.extra(id) == ResponseExtra.EARLY
                && day.asked.form(id) != null) {
            day.asked.takeExtra(id);
            early = true;
            earlyRuns = server.answerEarly(this, id);
        }
    }

    private void take() {
        String id = reader.header("x-request-id");
        Message message = reader.message();
        long deadline = deadline();
        Received received =
                new Received(
                        id == null ? "" : day.asked.name(id, message.method()),
                        message,
                        firstByteSentAt,
                        socket.sentAt(),
                        deadline,
                        deadline > 0 ? day.now() + deadline : Long.MAX_VALUE,
                        first);
        boolean answered = early;
        first = false;
        begunTold = false;
        early = false;
        reader.next();
        if (reader.begun()) {
            // What came with this one's last bytes was sent with them, as far as can be told.
            firstByteSentAt = socket.sentAt();
        }
        if (answered) {
            tellArrived(received, 0);
            if (!earlyRuns) {
                day.evidence.serverDidNotRun(server.uid(), server.life(), received.id());
            }
            rest();
            return;
        }
        busy = true;
        last = null;
        server.take(this, received);
    }

    /** Told of every request, one without an id too. */
    void tellArrived(Received received, long work) {
        if (!received.id().isEmpty()) {
            day.evidence.serverReceived(
                    server.uid(),
                    server.life(),
                    sidecar(),
                    received.id(),
                    received.firstByteSentAt(),
                    received.lastByteSentAt(),
                    work);
        }
        day.evidence.serverReadMessage(
                server.uid(),
                sidecar(),
                received.id(),
                received.message(),
                received.deadline(),
                received.firstByteSentAt());
    }

    private long deadline() {
        String text = reader.header("x-deadline");
        try {
            return text == null ? 0 : Math.round(Double.parseDouble(text) * Site.SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Writes the answer to what was taken last; then the next request's turn comes. */
    void say(Script script) {
        if (!isOpen()) {
            return;
        }
        player.play(
                script,
                () -> {
                    busy = false;
                    if (!socket.isOpen()) {
                        stop();
                        server.closed(this);
                        return;
                    }
                    rest();
                    if (reader.begun()) {
                        proceed();
                    }
                });
    }

    /** What it has said last. */
    void mayRepeat(String answer) {
        last = answer;
    }

    /**
     * Says its last answer once more, where nothing is open or on its way and the copy travels in
     * one piece. For whom the other end doesn't listen meanwhile.
     *
     * @param restAfter how much later all but its first bytes come; 0 for at once
     */
    void repeatAnswer(long restAfter) {
        if (last == null
                || !isOpen()
                || isBusy()
                || reader.begun()
                || socket.peer() == null
                || socket.peer().bytesWritten() != socket.bytesRead()
                || !carriesAtOnce(last.length())) {
            return;
        }
        int cut = restAfter > 0 ? Math.min(last.length(), CUT) : 0;
        say(
                restAfter > 0
                        ? Script.of(last.substring(0, cut)).then(restAfter, last.substring(cut))
                        : Script.of(last));
    }

    /** Whether so many bytes reach the other end in one piece. */
    boolean carriesAtOnce(int bytes) {
        NetworkConditions weather = day.network.conditions(socket.host(), socket.peerHost());
        return bytes <= ONE_SEGMENT
                && weather.segment == 0
                && weather.bytesPerSecond == 0
                && weather.sendBuffer > ONE_SEGMENT
                && weather.receiveBuffer > ONE_SEGMENT;
    }

    /** From now on it stands idle, and is closed if it does so for long. */
    private void rest() {
        awake();
        if (isOpen() && !reader.begun()) {
            long idle = day.plan.size(ScenarioParameter.SERVER_IDLE);
            // What sidecars are told of servers' patience holds when the faults have ended.
            long least = day.isTroubled() ? 0 : day.plan.size(ScenarioParameter.CONN_IDLE);
            boolean asTold = Math.max(idle, least) >= day.plan.size(ScenarioParameter.CONN_IDLE);
            boolean forgets = asTold && socket.id() % 2 == 0;
            idleEnd =
                    day.after(
                            Math.max(idle, least),
                            forgets ? this::forgetIfIdle : this::closeIfIdle);
        }
    }

    /**
     * What stood idle for as long as was said is forgotten without a word, as on the way it may be.
     */
    private void forgetIfIdle() {
        if (!isBusy() && !reader.begun()) {
            stop();
            socket.fault(SimSocket.Fault.BLACK_HOLE);
            server.closed(this);
        }
    }

    private void awake() {
        if (idleEnd != null) {
            idleEnd.cancel();
            idleEnd = null;
        }
    }
}
