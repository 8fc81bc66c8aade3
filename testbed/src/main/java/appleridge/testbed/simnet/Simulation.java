package appleridge.testbed.simnet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A discrete-event simulation: virtual time, in nanoseconds from the start of the day, and the
 * events scheduled in it. Events due at the same time run in an order drawn at random, so that over
 * many seeds every order occurs.
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

    /** Schedules `what` for a time; for now if that time is past. */
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

    /** Runs all events due up to that time and advances the clock to it. */
    public void runUntil(long when) {
        while (!heap.isEmpty() && heap.first().due() <= when) {
            step();
        }
        now = Math.max(now, when);
    }

    /** The due time of the next event; Long.MAX_VALUE if there is none. */
    public long next() {
        return heap.isEmpty() ? Long.MAX_VALUE : heap.first().due();
    }

    /** The number of scheduled events. */
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
     * Adds an occurrence, with the current time, to the digest. `text` is evaluated only while a
     * trace is set.
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

    /** A hash over all events with their times, and all notes; equal runs have equal digests. */
    public long digest() {
        return SeededRandom.mix(digest);
    }

    /** Passes a line of text for each note to `sink` from now on; null stops it. */
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

    /** A scheduled event, which can be cancelled while it is pending. */
    public static final class Event extends HeapEntry {
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
