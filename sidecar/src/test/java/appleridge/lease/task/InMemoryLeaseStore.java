package appleridge.lease.task;

import appleridge.lease.VersionedLease;
import appleridge.lease.store.LeaseStore;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/** A record and a line in memory, of which each task has a store. */
final class InMemoryLeaseStore {
    private final List<Store> line = new ArrayList<>();
    private VersionedLease entry;

    synchronized VersionedLease entry() {
        return entry;
    }

    LeaseStore store(LeaseStore.Events events, Executor executor) {
        return new Store(events, executor);
    }

    private synchronized void changed() {
        line.forEach(each -> each.executor.execute(each.events::onRecordChanged));
    }

    private synchronized void place(Store store, boolean in) {
        line.remove(store);
        if (in) {
            line.add(store);
        }
        if (!line.isEmpty()) {
            line.get(0).executor.execute(line.get(0).events::onHeadOfQueue);
        }
    }

    private final class Store implements LeaseStore {
        private final Events events;
        private final Executor executor;

        Store(Events events, Executor executor) {
            this.events = events;
            this.executor = executor;
        }

        @Override
        public void start() {
            executor.execute(events::onConnected);
        }

        @Override
        public void read(long question) {
            VersionedLease now = entry();
            executor.execute(() -> events.onRead(question, now));
        }

        @Override
        public void write(long question, long expectedVersion, VersionedLease next) {
            synchronized (InMemoryLeaseStore.this) {
                long version = entry == null ? -1 : entry.version();
                if (version != expectedVersion) {
                    executor.execute(() -> events.onConflict(question));
                    return;
                }
                entry =
                        new VersionedLease(
                                version + 1,
                                next.token(),
                                next.holder(),
                                next.nonce(),
                                next.termNanos(),
                                next.released());
                executor.execute(() -> events.onWritten(question, version + 1));
            }
            changed();
        }

        @Override
        public void setQueued(boolean in) {
            place(this, in);
        }

        @Override
        public void close() {
            place(this, false);
        }
    }
}
