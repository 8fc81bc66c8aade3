package appleridge.testbed.simnet;

import java.util.ArrayDeque;

/**
 * One direction of a connection: a bounded send buffer, segments on the way, a bounded receive
 * buffer. All bytes stand in one ring; what they are is told by positions: read &lt;= arrived &lt;=
 * left &lt;= written.
 */
final class Pipe {
    /** The first wait of a sender that hears nothing; doubled each time, as TCP does. */
    private static final long RETRY = 200_000_000L;

    private static final long LONGEST_RETRY = 120_000_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final long NEVER = Long.MAX_VALUE;

    private final Simulation simulation;
    private final SeededRandom chance;
    private final SimSocket from;
    private final SimSocket to;
    private final NetworkConditions there;
    private final NetworkConditions back;
    private final int sendLimit;
    private final int receiveLimit;
    private final ByteRing ring = new ByteRing();
    private final ArrayDeque<Segment> flight = new ArrayDeque<>(4);

    /** Up to which byte was written when. */
    private final Marks stamps = new Marks();

    /** Up to which byte was read, and when the sender hears of it. */
    private final Marks heard = new Marks();

    private final Runnable landing = this::land;
    private final Runnable pumping = this::pump;
    private long arrived;
    private long left;
    private long window;
    private long breakAt = NEVER;
    private Runnable whenBreaking = () -> {};
    private long lastDue;
    private long lastRead;
    private long retry = RETRY;
    private long endStamp = -1;
    private boolean wantsRoom;
    private boolean windowShut;
    private boolean silent;
    private boolean stopped;
    private boolean broken;
    private Simulation.Event next;
    private Simulation.Event pump;

    Pipe(SimSocket from, SimSocket to) {
        this.from = from;
        this.to = to;
        Network network = from.host().network();
        simulation = network.simulation();
        chance = network.chance();
        there = network.conditions(from.host(), to.host());
        back = network.conditions(to.host(), from.host());
        sendLimit = Math.max(1, there.sendBuffer);
        receiveLimit = Math.max(1, there.receiveBuffer);
        window = receiveLimit;
    }

    // ---- the sender

    /** Behind a break of which the sender has not heard it writes on, as far as its buffer goes. */
    int room() {
        return sendLimit - (int) (ring.end() - left);
    }

    void put(byte[] bytes, int offset, int length) {
        ring.put(bytes, offset, length);
        stamps.add(ring.end(), from.host().localNow());
    }

    /** Whether the sender is to hear of room again. */
    void wantsRoom(boolean wants) {
        wantsRoom = wants;
    }

    boolean wantsRoom() {
        return wantsRoom;
    }

    void end() {
        if (endStamp < 0 && !stopped) {
            wantsRoom = false;
            endStamp = from.host().localNow();
            pump();
        }
    }

    void handshake() {
        fly(Segment.Kind.HANDSHAKE, simulation.now());
    }

    /** Nothing leaves any more; what is on the way goes on. */
    void stop() {
        stopped = true;
        wantsRoom = false;
        cancelPump();
    }

    void reset(boolean discard) {
        stop();
        broken = true;
        if (discard) {
            flight.clear();
            cancelNext();
        }
        fly(Segment.Kind.RESET, from.host().localNow());
    }

    /** The connection breaks behind all that is on the way. */
    void breakNow() {
        if (!broken) {
            stop();
            broken = true;
            fly(Segment.Kind.BREAK, simulation.now());
        }
    }

    /** Whether it breaks there, which is then told; false if that byte has left. */
    boolean breakAt(long position, Runnable told) {
        if (stopped || position < left) {
            return false;
        }
        if (position <= breakAt) {
            breakAt = position;
            whenBreaking = told;
        }
        return true;
    }

    /** Up to which byte all has left the send buffer. */
    long left() {
        return left;
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
        while (!stamps.isEmpty() && stamps.position(0) < position) {
            stamps.removeFirst();
        }
        lastRead = stamps.time(0);
        if (stopped || windowShut) {
            return;
        }
        hear(simulation.now());
        long when = to.host().localNow() + back.delay;
        heard.add(position, when);
        if (left < ring.end()) {
            pumpAt(when);
        }
    }

    long lastRead() {
        return lastRead;
    }

    /** The window stays as it is: what is on the way still fits. */
    void shutWindow() {
        windowShut = true;
        window = left;
    }

    /** What has arrived and was not read is lost. */
    void discard() {
        ring.clear();
        arrived = ring.start();
    }

    /** Nothing moves here any more. */
    void kill() {
        stop();
        broken = true;
        flight.clear();
        cancelNext();
    }

    // ---- on the way

    /** Lets leave what may leave. */
    void pump() {
        long now = simulation.now();
        while (!stopped && left < ring.end()) {
            if (there.bytesPerSecond > 0 && there.free > now) {
                pumpAt(there.free);
                break;
            }
            if (left == breakAt) {
                whenBreaking.run();
                breakNow();
                return;
            }
            hear(now);
            if (window <= left) {
                awaitWindow(now);
                break;
            }
            leave(now);
        }
        if (endStamp >= 0 && !stopped && left == ring.end()) {
            stop();
            fly(Segment.Kind.END, Math.max(now, endStamp));
        }
        if (wantsRoom && 3 * room() >= sendLimit) {
            wantsRoom = false;
            from.hasRoom();
        }
    }

    private void leave(long now) {
        long most = Math.min(Math.min(ring.end(), window), breakAt);
        long departs = now;
        int last = stamps.size() - 1;
        if (stamps.time(last) > now) {
            int first = last;
            while (first > 0 && stamps.position(first - 1) > left) {
                first--;
            }
            departs = Math.max(now, stamps.time(first));
            most = Math.min(most, stamps.position(first));
        }
        int bytes = there.cut((int) (most - left), chance);
        left += bytes;
        if (there.bytesPerSecond > 0) {
            departs = Math.max(there.free, departs) + bytes * SECOND / there.bytesPerSecond;
            there.free = departs;
        }
        fly(Segment.Kind.BYTES, departs);
    }

    private void fly(Segment.Kind kind, long departs) {
        long due = departs + there.travel(chance);
        if (kind == Segment.Kind.BYTES && there.segment != 0 && there.gap > 0) {
            due = Math.max(due, lastDue + 1 + chance.nextLong(there.gap));
        }
        if (dark() && kind != Segment.Kind.RESET) {
            due += RETRY;
        }
        lastDue = Math.max(due, lastDue);
        flight.add(new Segment(kind, left, lastDue));
        if (flight.size() == 1) {
            next = simulation.at(lastDue, landing);
        }
    }

    private boolean dark() {
        return silent || there.blackHole || from.host().isVanished() || to.host().isVanished();
    }

    private void land() {
        Segment segment = flight.peek();
        boolean reset = segment.kind() == Segment.Kind.RESET;
        if (!reset && (from.isForgotten() || from.isGone() && dark())) {
            kill();
            return;
        }
        boolean handshake = segment.kind() == Segment.Kind.HANDSHAKE;
        if (dark() && !reset || handshake && !to.mayEnter()) {
            if (!silent) {
                next = simulation.after(retry, landing);
                retry = Math.min(2 * retry, LONGEST_RETRY);
            }
            return;
        }
        retry = RETRY;
        flight.poll();
        if (!flight.isEmpty()) {
            next = simulation.at(flight.peek().due(), landing);
        }
        deliver(segment);
    }

    private void deliver(Segment segment) {
        switch (segment.kind()) {
            case HANDSHAKE -> to.enter();
            case BYTES -> {
                if (to.takesInput()) {
                    arrived = segment.end();
                    to.hasInput();
                } else {
                    to.refuseInput();
                }
            }
            case END -> to.hearEnd();
            case RESET -> {
                if (!dark()) {
                    to.hearReset(chance.hits(there.resetDiscards));
                }
            }
            case BREAK -> {
                to.breakBack();
                to.hearReset(false);
            }
            default -> throw new IllegalStateException();
        }
    }

    private void hear(long now) {
        while (!heard.isEmpty() && heard.time(0) <= now && !deaf()) {
            if (!windowShut) {
                window = heard.position(0) + receiveLimit;
            }
            heard.removeFirst();
        }
    }

    /** Whether what the receiver says about its window can't be heard. */
    private boolean deaf() {
        return back.blackHole || from.host().isVanished() || to.host().isVanished() || to.isMute();
    }

    private void awaitWindow(long now) {
        if (!heard.isEmpty()) {
            pumpAt(heard.time(0) > now ? heard.time(0) : now + RETRY);
        }
    }

    private void pumpAt(long when) {
        if (pump != null && pump.isPending()) {
            if (pump.when() <= when) {
                return;
            }
            pump.cancel();
        }
        pump = simulation.at(when, pumping);
    }

    private void cancelPump() {
        if (pump != null) {
            pump.cancel();
        }
    }

    private void cancelNext() {
        if (next != null) {
            next.cancel();
        }
    }
}
