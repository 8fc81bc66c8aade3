package appleridge.testbed.simnet;

import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;

/** Something that a loop is to do at a moment of its time, once or again and again. */
final class SimTimer<V> extends DefaultPromise<V> implements ScheduledFuture<V> {
    private final SimLoop loop;
    private final Callable<V> task;

    /** 0: once; above: from due time to due time; below: from end to begin. */
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

    /** Runs in the loop; what is thrown fails the future, and goes on to the loop. */
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
            loop.drop(entry);
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

    /** The timer's place among the loop's others. */
    static final class Entry extends Planned {
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
