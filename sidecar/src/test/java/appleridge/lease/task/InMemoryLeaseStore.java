package appleridge.lease.task;

import appleridge.lease.VersionedLease;
import appleridge.lease.store.LeaseStore;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/** A record and a queue in memory, to which each task is connected by a store of its own. */
final class InMemoryLeaseStore {
    private final List<Connection> queue = new ArrayList<>();
    private VersionedLease record;

    synchronized VersionedLease record() {
        return record;
    }

    LeaseStore connect(LeaseStore.Events events, Executor executor) {
        return new Connection(events, executor);
    }

    private synchronized void notifyWaiters() {
        queue.forEach(each -> each.executor.execute(each.events::onRecordChanged));
    }

    private synchronized void setQueued(Connection connection, boolean queued) {
        queue.remove(connection);
        if (queued) {
            queue.add(connection);
        }
        if (!queue.isEmpty()) {
            queue.get(0).executor.execute(queue.get(0).events::onHeadOfQueue);
        }
    }

    private final class Connection implements LeaseStore {
        private final Events events;
        private final Executor executor;

        Connection(Events events, Executor executor) {
            this.events = events;
            this.executor = executor;
        }

        @Override
        public void start() {
            executor.execute(events::onConnected);
        }

        @Override
        public void read(long requestId) {
            VersionedLease current = record();
            executor.execute(() -> events.onRead(requestId, current));
        }

        @Override
        public void write(long requestId, long expectedVersion, VersionedLease next) {
            synchronized (InMemoryLeaseStore.this) {
                long version = record == null ? -1 : record.version();
                if (version != expectedVersion) {
                    executor.execute(() -> events.onConflict(requestId));
                    return;
                }
                record =
                        new VersionedLease(
                                version + 1,
                                next.token(),
                                next.holder(),
                                next.nonce(),
                                next.termNanos(),
                                next.released());
                executor.execute(() -> events.onWritten(requestId, version + 1));
            }
            notifyWaiters();
        }

        @Override
        public void setQueued(boolean queued) {
            InMemoryLeaseStore.this.setQueued(this, queued);
        }

        @Override
        public void close() {
            InMemoryLeaseStore.this.setQueued(this, false);
        }
    }
}
