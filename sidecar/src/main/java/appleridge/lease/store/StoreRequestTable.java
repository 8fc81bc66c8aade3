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
 * The requests that have no answer yet, and what is told to the caller: each request is answered at
 * most once. On the store's thread; the caller is told on its own executor.
 */
final class StoreRequestTable {
    /** A server that leaves a request unanswered for so long is replaced by another. */
    private static final long SILENT_SERVER_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Map<Long, Long> sentAtNanosById = new HashMap<>();
    private final String folder;
    private final Events events;
    private final Executor executor;
    private final StoreThread thread;
    private final StoreLog log;

    StoreRequestTable(
            String folder, Events events, Executor executor, StoreThread thread, StoreLog log) {
        this.folder = folder;
        this.events = events;
        this.executor = executor;
        this.thread = thread;
        this.log = log;
    }

    void open(long requestId) {
        sentAtNanosById.put(requestId, StoreThread.nanoTime());
    }

    /** Tells the caller of something that answers no request. */
    void publish(Consumer<Events> event) {
        executor.execute(() -> event.accept(events));
    }

    /** Answers a request; without effect if it was answered before. */
    void answer(long requestId, Consumer<Events> event) {
        if (sentAtNanosById.remove(requestId) != null) {
            publish(event);
        }
    }

    /** The request gets no answer: what came of it is told otherwise. */
    void discard(long requestId) {
        sentAtNanosById.remove(requestId);
    }

    void answerUnknown(long requestId) {
        answer(requestId, to -> to.onOutcomeUnknown(requestId));
    }

    void answerUnknownLater(long requestId) {
        thread.retryLater(() -> answerUnknown(requestId));
    }

    void answerAllUnknown() {
        List.copyOf(sentAtNanosById.keySet()).forEach(this::answerUnknown);
    }

    /**
     * Answers a request that failed. Only after the loss of a connection it is answered at once:
     * then a new one comes first, while any other error would be retried in a busy loop.
     */
    void fail(long requestId, Code code) {
        if (code == Code.CONNECTIONLOSS
                || code == Code.SESSIONEXPIRED
                || code == Code.SESSIONMOVED) {
            answerUnknown(requestId);
        } else {
            log.info("the coordination service answers " + code + " for " + folder);
            answerUnknownLater(requestId);
        }
    }

    /** Whether the server leaves a request unanswered for too long. */
    boolean hasSilentServer(long nowNanos) {
        return sentAtNanosById.values().stream()
                .anyMatch(sentAt -> nowNanos - sentAt > SILENT_SERVER_NANOS);
    }
}
