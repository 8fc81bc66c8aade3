package appleridge.testbed.simnet;

import java.util.ArrayDeque;

/**
 * One direction of a connection: a bounded send buffer, segments in flight and a bounded receive
 * buffer. All bytes are in one ring; stream positions separate the parts: read &lt;= arrived &lt;=
 * transmitted &lt;= written.
 */
final class Pipe {
    /** First retransmission timeout in nanoseconds; doubled each time, as in TCP. */
    private static final long MIN_RETRANSMIT = 200_000_000L;

    private static final long MAX_RETRANSMIT = 120_000_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final long NEVER = Long.MAX_VALUE;

    private final Simulation simulation;
    private final SeededRandom chance;
    private final SimSocket from;
    private final SimSocket to;
    private final NetworkConditions forward;
    private final NetworkConditions reverse;
    private final int sendLimit;
    private final int receiveLimit;
    private final ByteRing ring = new ByteRing();
    private final ArrayDeque<Segment> inFlight = new ArrayDeque<>(4);

    /** The position after each write, with the time of the write. */
    private final PositionQueue writeTimes = new PositionQueue();

    /** The position after each read, with the time at which the sender learns of it. */
    private final PositionQueue windowUpdates = new PositionQueue();

    private final Runnable arrivalTask = this::arrive;
    private final Runnable pumpTask = this::pump;
    private long arrived;
    private long transmitted;
    private long window;
    private long breakAt = NEVER;
    private Runnable onBreak = () -> {};
    private long lastDue;
    private long lastRead;
    private long retransmitDelay = MIN_RETRANSMIT;
    private long endTime = -1;
    private boolean wantsRoom;
    private boolean windowShut;
    private boolean silent;
    private boolean stopped;
    private boolean broken;
    private Simulation.Event nextArrival;
    private Simulation.Event pumpEvent;

    Pipe(SimSocket from, SimSocket to) {
        this.from = from;
        this.to = to;
        Network network = from.host().network();
        simulation = network.simulation();
        chance = network.chance();
        forward = network.conditions(from.host(), to.host());
        reverse = network.conditions(to.host(), from.host());
        sendLimit = Math.max(1, forward.sendBuffer);
        receiveLimit = Math.max(1, forward.receiveBuffer);
        window = receiveLimit;
    }

    // ---- the sender

    /**
     * Free bytes in the send buffer. A sender that has not learned of a break yet may still fill
     * the buffer.
     */
    int room() {
        return sendLimit - (int) (ring.end() - transmitted);
    }

    void put(byte[] bytes, int offset, int length) {
        ring.put(bytes, offset, length);
        writeTimes.add(ring.end(), from.host().localNow());
    }

    /** Sets whether the sender is notified when the send buffer has room again. */
    void wantsRoom(boolean wants) {
        wantsRoom = wants;
    }

    boolean wantsRoom() {
        return wantsRoom;
    }

    void end() {
        if (endTime < 0 && !stopped) {
            wantsRoom = false;
            endTime = from.host().localNow();
            pump();
        }
    }

    void handshake() {
        transmit(Segment.Kind.HANDSHAKE, simulation.now());
    }

    /** Stops sending; segments in flight still arrive. */
    void stop() {
        stopped = true;
        wantsRoom = false;
        cancelPump();
    }

    void reset(boolean discard) {
        stop();
        broken = true;
        if (discard) {
            inFlight.clear();
            cancelNextArrival();
        }
        transmit(Segment.Kind.RESET, from.host().localNow());
    }

    /** Breaks the connection after all segments in flight have arrived. */
    void breakNow() {
        if (!broken) {
            stop();
            broken = true;
            transmit(Segment.Kind.BREAK, simulation.now());
        }
    }

    /**
     * Breaks the connection before the byte at this position is transmitted and then calls
     * `callback`. Returns false, and does nothing, if that byte is already transmitted or sending
     * has stopped.
     */
    boolean breakAt(long position, Runnable callback) {
        if (stopped || position < transmitted) {
            return false;
        }
        if (position <= breakAt) {
            breakAt = position;
            onBreak = callback;
        }
        return true;
    }

    /** The number of bytes transmitted, that is no longer in the send buffer. */
    long transmitted() {
        return transmitted;
    }

    void silence() {
        silent = true;
    }

    // ---- the receiver

    int available() {
        return (int) (arrived - ring.start());
    }

    void take(byte[] into, int offset, int length) {
        ring.take(into, offset, length);
        long position = ring.start();
        while (!writeTimes.isEmpty() && writeTimes.position(0) < position) {
            writeTimes.removeFirst();
        }
        lastRead = writeTimes.time(0);
        if (stopped || windowShut) {
            return;
        }
        applyWindowUpdates(simulation.now());
        long when = to.host().localNow() + reverse.delay;
        windowUpdates.add(position, when);
        if (transmitted < ring.end()) {
            pumpAt(when);
        }
    }

    long lastRead() {
        return lastRead;
    }

    /** Closes the window at what is already transmitted; segments in flight still fit. */
    void shutWindow() {
        windowShut = true;
        window = transmitted;
    }

    /** Discards bytes that have arrived but were not read. */
    void discard() {
        ring.clear();
        arrived = ring.start();
    }

    /** Stops sending and drops all segments in flight. */
    void kill() {
        stop();
        broken = true;
        inFlight.clear();
        cancelNextArrival();
    }

    // ---- in flight

    /** Transmits as much as the window, the bandwidth and a planned break allow. */
    void pump() {
        long now = simulation.now();
        while (!stopped && transmitted < ring.end()) {
            if (forward.bytesPerSecond > 0 && forward.free > now) {
                pumpAt(forward.free);
                break;
            }
            if (transmitted == breakAt) {
                onBreak.run();
                breakNow();
                return;
            }
            applyWindowUpdates(now);
            if (window <= transmitted) {
                awaitWindow(now);
                break;
            }
            sendSegment(now);
        }
        if (endTime >= 0 && !stopped && transmitted == ring.end()) {
            stop();
            transmit(Segment.Kind.END, Math.max(now, endTime));
        }
        if (wantsRoom && 3 * room() >= sendLimit) {
            wantsRoom = false;
            from.onRoom();
        }
    }

    private void sendSegment(long now) {
        long limit = Math.min(Math.min(ring.end(), window), breakAt);
        long departs = now;
        int last = writeTimes.size() - 1;
        if (writeTimes.time(last) > now) {
            int first = last;
            while (first > 0 && writeTimes.position(first - 1) > transmitted) {
                first--;
            }
            departs = Math.max(now, writeTimes.time(first));
            limit = Math.min(limit, writeTimes.position(first));
        }
        int bytes = forward.cut((int) (limit - transmitted), chance);
        transmitted += bytes;
        if (forward.bytesPerSecond > 0) {
            departs = Math.max(forward.free, departs) + bytes * SECOND / forward.bytesPerSecond;
            forward.free = departs;
        }
        transmit(Segment.Kind.BYTES, departs);
    }

    private void transmit(Segment.Kind kind, long departs) {
        long due = departs + forward.travel(chance);
        if (kind == Segment.Kind.BYTES && forward.segment != 0 && forward.gap > 0) {
            due = Math.max(due, lastDue + 1 + chance.nextLong(forward.gap));
        }
        if (isCutOff() && kind != Segment.Kind.RESET) {
            due += MIN_RETRANSMIT;
        }
        lastDue = Math.max(due, lastDue);
        inFlight.add(new Segment(kind, transmitted, lastDue));
        if (inFlight.size() == 1) {
            nextArrival = simulation.at(lastDue, arrivalTask);
        }
    }

    private boolean isCutOff() {
        return silent || forward.blackHole || from.host().isIsolated() || to.host().isIsolated();
    }

    private void arrive() {
        Segment segment = inFlight.peek();
        boolean reset = segment.kind() == Segment.Kind.RESET;
        if (!reset && (from.isForgotten() || from.isGone() && isCutOff())) {
            kill();
            return;
        }
        boolean handshake = segment.kind() == Segment.Kind.HANDSHAKE;
        if (isCutOff() && !reset || handshake && !to.mayEnterBacklog()) {
            if (!silent) {
                nextArrival = simulation.after(retransmitDelay, arrivalTask);
                retransmitDelay = Math.min(2 * retransmitDelay, MAX_RETRANSMIT);
            }
            return;
        }
        retransmitDelay = MIN_RETRANSMIT;
        inFlight.poll();
        if (!inFlight.isEmpty()) {
            nextArrival = simulation.at(inFlight.peek().due(), arrivalTask);
        }
        deliver(segment);
    }

    private void deliver(Segment segment) {
        switch (segment.kind()) {
            case HANDSHAKE -> to.enterBacklog();
            case BYTES -> {
                if (to.takesInput()) {
                    arrived = segment.end();
                    to.onInput();
                } else {
                    to.rejectSegment();
                }
            }
            case END -> to.onEnd();
            case RESET -> {
                if (!isCutOff()) {
                    to.onReset(chance.hits(forward.resetDiscards));
                }
            }
            case BREAK -> {
                to.propagateBreak();
                to.onReset(false);
            }
            default -> throw new IllegalStateException("unknown segment kind " + segment.kind());
        }
    }

    private void applyWindowUpdates(long now) {
        while (!windowUpdates.isEmpty() && windowUpdates.time(0) <= now && !isReverseCutOff()) {
            if (!windowShut) {
                window = windowUpdates.position(0) + receiveLimit;
            }
            windowUpdates.removeFirst();
        }
    }

    /** Whether window updates of the receiver cannot reach the sender. */
    private boolean isReverseCutOff() {
        return reverse.blackHole
                || from.host().isIsolated()
                || to.host().isIsolated()
                || to.isMute();
    }

    private void awaitWindow(long now) {
        if (!windowUpdates.isEmpty()) {
            pumpAt(windowUpdates.time(0) > now ? windowUpdates.time(0) : now + MIN_RETRANSMIT);
        }
    }

    private void pumpAt(long when) {
        if (pumpEvent != null && pumpEvent.isPending()) {
            if (pumpEvent.when() <= when) {
                return;
            }
            pumpEvent.cancel();
        }
        pumpEvent = simulation.at(when, pumpTask);
    }

    private void cancelPump() {
        if (pumpEvent != null) {
            pumpEvent.cancel();
        }
    }

    private void cancelNextArrival() {
        if (nextArrival != null) {
            nextArrival.cancel();
        }
    }
}
