package appleridge.testbed.simnet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Virtual time, and everything that is to happen in it. Nanoseconds from the start of the day. What
 * is due at one instant runs in an order drawn from the chance for ties, so that all orders get
 * played.
 */
public final class Simulation {
    private static final long SECOND = 1_000_000_000L;

    private final SeededRandom ties;
    private final List<Runnable> checks = new ArrayList<>(2);
    private final Heap<Event> heap = new Heap<>();
    private long now;
    private long serials;
    private long steps;
    private long digest;
    private Consumer<String> trace;

    public Simulation(SeededRandom ties) {
        this.ties = ties;
    }

    public long now() {
        return now;
    }

    /** Plans `what` for that moment; for now if the moment is past. */
    public Event at(long when, Runnable what) {
        Event event = new Event(heap, Math.max(when, now), ties.nextLong(), serials++, what);
        heap.add(event);
        return event;
    }

    public Event after(long delay, Runnable what) {
        return at(now + Math.max(delay, 0), what);
    }

    /** Runs the next event; false if there is none. */
    public boolean step() {
        Event next = heap.first();
        if (next == null) {
            return false;
        }
        heap.remove(next);
        now = next.due();
        steps++;
        digest = SeededRandom.mix(digest + now * 31 + next.serial());
        next.what.run();
        for (int i = 0; i < checks.size(); i++) {
            checks.get(i).run();
        }
        return true;
    }

    /** Runs all that is due up to that moment, which is then the present. */
    public void runUntil(long when) {
        while (!heap.isEmpty() && heap.first().due() <= when) {
            step();
        }
        now = Math.max(now, when);
    }

    /** When the next event is due; Long.MAX_VALUE if there is none. */
    public long next() {
        return heap.isEmpty() ? Long.MAX_VALUE : heap.first().due();
    }

    /** How many events are planned. */
    public int pending() {
        return heap.size();
    }

    public void afterEachStep(Runnable check) {
        checks.add(check);
    }

    public long steps() {
        return steps;
    }

    /**
     * Everything that matters is noted: goes into the digest with its time; text is made for a
     * trace.
     */
    public void note(int kind, long a, long b, Supplier<String> text) {
        digest =
                SeededRandom.mix(digest + now + kind * 0x632BE59BD9B4E019L)
                        + a * 0x9E3779B97F4A7C15L
                        + b;
        if (trace != null) {
            trace.accept(line(text.get()));
        }
    }

    public void note(int kind, CharSequence what) {
        long hash = kind;
        for (int i = 0; i < what.length(); i++) {
            hash = hash * 0x100000001B3L + what.charAt(i);
        }
        digest = SeededRandom.mix(digest + now) + hash;
        if (trace != null) {
            trace.accept(line(what.toString()));
        }
    }

    /** A hash over every event with its time, and every note. */
    public long digest() {
        return SeededRandom.mix(digest);
    }

    /** From now on each note is a line of text for `sink`; null: no longer. */
    public void trace(Consumer<String> sink) {
        trace = sink;
    }

    public boolean isTraced() {
        return trace != null;
    }

    private String line(String text) {
        String seconds = Long.toString(now / SECOND);
        String fraction = Long.toString(now % SECOND + SECOND).substring(1);
        return " ".repeat(Math.max(0, 4 - seconds.length()))
                + seconds
                + '.'
                + fraction
                + ' '
                + text;
    }

    /** Something planned, which can be taken back as long as it is pending. */
    public static final class Event extends Planned {
        private final Heap<Event> heap;
        private final Runnable what;

        private Event(Heap<Event> heap, long when, long tie, long serial, Runnable what) {
            super(when, tie, serial);
            this.heap = heap;
            this.what = what;
        }

        public void cancel() {
            heap.remove(this);
        }

        public boolean isPending() {
            return index() >= 0;
        }

        public long when() {
            return due();
        }
    }
}
