package appleridge.lease.store;

import appleridge.lease.store.LeaseStore.Events;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.zookeeper.KeeperException.Code;

/**
 * The requests that have no result yet. Delivers results and other events to the caller, at most
 * one result for each request. Confined to the store's thread; the caller's events run on its
 * executor.
 */
final class StoreRequestTable {
    /** A server that doesn't respond to a request for this long is replaced by another. */
    private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Map<Long, Long> sentAtNanosById = new HashMap<>();
    private final String path;
    private final Events events;
    private final Executor executor;
    private final StoreThread thread;
    private final StoreLog log;

    StoreRequestTable(
            String path, Events events, Executor executor, StoreThread thread, StoreLog log) {
        this.path = path;
        this.events = events;
        this.executor = executor;
        this.thread = thread;
        this.log = log;
    }

    void open(long requestId) {
        sentAtNanosById.put(requestId, StoreThread.nanoTime());
    }

    /** Delivers an event that is not the result of a request. */
    void publish(Consumer<Events> event) {
        executor.execute(() -> event.accept(events));
    }

    /** Delivers the result of a request; no effect if it already has one. */
    void complete(long requestId, Consumer<Events> event) {
        if (sentAtNanosById.remove(requestId) != null) {
            publish(event);
        }
    }

    /** Drops a request without a result, because another event reports its outcome. */
    void discard(long requestId) {
        sentAtNanosById.remove(requestId);
    }

    void completeUnknown(long requestId) {
        complete(requestId, to -> to.onOutcomeUnknown(requestId));
    }

    void completeUnknownLater(long requestId) {
        thread.retryLater(() -> completeUnknown(requestId));
    }

    void completeAllUnknown() {
        List.copyOf(sentAtNanosById.keySet()).forEach(this::completeUnknown);
    }

    /**
     * Completes a request that failed. After the loss of a connection this happens at once, because
     * the caller has to wait for a new connection before it retries; after any other error it
     * happens after the retry delay, because the caller would retry in a busy loop.
     */
    void fail(long requestId, Code code) {
        if (code == Code.CONNECTIONLOSS
                || code == Code.SESSIONEXPIRED
                || code == Code.SESSIONMOVED) {
            completeUnknown(requestId);
        } else {
            log.info("ZooKeeper returned " + code + " for " + path);
            completeUnknownLater(requestId);
        }
    }

    /** Whether the server has not responded to a request for too long. */
    boolean hasOverdueRequest(long nowNanos) {
        return sentAtNanosById.values().stream()
                .anyMatch(sentAt -> nowNanos - sentAt > RESPONSE_TIMEOUT_NANOS);
    }
}
