package appleridge.testbed.simnet;

import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;

/** A one-shot or periodic timer of a loop. */
final class SimTimer<V> extends DefaultPromise<V> implements ScheduledFuture<V> {
    private final SimLoop loop;
    private final Callable<V> task;

    /** 0: one-shot; positive: fixed rate; negative: fixed delay. Nanoseconds. */
    private final long period;

    private final Entry entry;

    SimTimer(SimLoop loop, Callable<V> task, long due, long period, long tie, long serial) {
        super(loop);
        this.loop = loop;
        this.task = task;
        this.period = period;
        entry = new Entry(this, due, tie, serial);
    }

    Entry entry() {
        return entry;
    }

    /** Runs the task. An exception fails the future and is rethrown to the loop. */
    void fire() throws Exception {
        if (period == 0) {
            if (setUncancellable()) {
                try {
                    setSuccess(task.call());
                } catch (Throwable e) {
                    setFailure(e);
                    throw e;
                }
            }
        } else if (!isCancelled()) {
            try {
                task.call();
            } catch (Throwable e) {
                setFailure(e);
                throw e;
            }
            if (!isCancelled()) {
                entry.due(period > 0 ? entry.due() + period : loop.localNow() - period);
                loop.plan(entry);
            }
        }
    }

    @Override
    public boolean cancel(boolean mayInterruptIfRunning) {
        boolean cancelled = super.cancel(mayInterruptIfRunning);
        if (cancelled) {
            loop.remove(entry);
        }
        return cancelled;
    }

    @Override
    public long getDelay(TimeUnit unit) {
        return unit.convert(Math.max(0, entry.due() - loop.localNow()), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(Delayed other) {
        return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(entry.serial());
    }

    @Override
    protected EventExecutor executor() {
        return loop;
    }

    /** The timer's entry in the heap of its loop. */
    static final class Entry extends HeapEntry {
        private final SimTimer<?> timer;

        private Entry(SimTimer<?> timer, long due, long tie, long serial) {
            super(due, tie, serial);
            this.timer = timer;
        }

        SimTimer<?> timer() {
            return timer;
        }
    }
}
