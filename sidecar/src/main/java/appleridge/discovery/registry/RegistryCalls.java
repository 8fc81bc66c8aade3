package appleridge.discovery.registry;

import appleridge.request.Scheduler;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * The calls to the registry: one at a time, and beside it at most one watch whose response is
 * overdue and still accepted. Enforces the time limits of calls. Must be called on the event loop.
 */
final class RegistryCalls implements RegistryConnection.Caller {
    /**
     * Notified of the end of calls. A method that is given a list throws {@link
     * IllegalArgumentException} if it is malformed.
     */
    interface Listener {
        /** The call in flight has a response, and stays in flight until {@link #endCall}. */
        void onList(JsonNode list);

        /** The overdue watch has a response. */
        void onOverdueList(JsonNode list);

        /** The call in flight has failed, and its connection is closed. */
        void onCallFailed(String reason);

        /** The watch in flight is overdue. */
        void onWatchOverdue();
    }

    private static final String LIST_PATH = "/registry/instances";

    /** How long the response to a call other than a watch may take to arrive. */
    private static final long MAX_RESPONSE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final PollPolicy pollPolicy;
    private final Listener listener;
    private final ObjectMapper json = new ObjectMapper();
    private InetSocketAddress address;
    private RegistryConnection connection;

    /** A watch whose response is overdue and still accepted while another call polls. */
    private RegistryConnection overdueWatch;

    /**
     * A call to a local agent whose time is over, until the next call is sent; null if there is
     * none. While it is open and unanswered, the agent has nothing to say.
     */
    private RegistryConnection timedOutCall;

    private Scheduler.ScheduledTask timeout = () -> {};
    private boolean inFlight;

    /** When the watch in flight was sent; 0 while the call in flight is not a watch. */
    private long watchSentAtNanos;

    private long sentAtNanos;
    private long previousSentAtNanos;

    RegistryCalls(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            PollPolicy pollPolicy,
            Listener listener) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.pollPolicy = pollPolicy;
        this.listener = listener;
        this.sentAtNanos = loop.nanoTime();
        this.previousSentAtNanos = sentAtNanos;
    }

    boolean isInFlight() {
        return inFlight;
    }

    /** Whether the last call was a watch. */
    boolean isWatch() {
        return watchSentAtNanos > 0;
    }

    /** When the last call was sent. */
    long sentAtNanos() {
        return sentAtNanos;
    }

    /** When the call before the last one was sent. */
    long previousSentAtNanos() {
        return previousSentAtNanos;
    }

    /** Whether the call that was sent at a time is the last one, still open and unanswered. */
    boolean isUnanswered(long sentNanos) {
        RegistryConnection open = inFlight ? connection : timedOutCall;
        return open != null && sentAtNanos == sentNanos && open.isUnanswered();
    }

    /** Whether the watch in flight should have been answered by now. */
    boolean isWatchOverdue(long nowNanos) {
        return nowNanos - watchSentAtNanos > pollPolicy.watchNanos() + pollPolicy.watchGraceNanos();
    }

    /** Polls a snapshot. */
    void pollSnapshot() {
        call(LIST_PATH, 0);
    }

    /** Sends a watch for updates after a revision. */
    void watch(long revision) {
        long millis = TimeUnit.NANOSECONDS.toMillis(pollPolicy.watchNanos());
        call(
                LIST_PATH + "?since=" + revision + "&timeout_ms=" + millis,
                TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Polls a snapshot beside the watch in flight, which becomes the overdue one. */
    void pollBesideWatch() {
        timeout.cancel();
        dropOverdue();
        overdueWatch = connection;
        connection = null;
        pollSnapshot();
    }

    /** Runs a task after a pause, unless a call is sent before. */
    void scheduleNext(long delayNanos, Runnable task) {
        timeout = loop.schedule(delayNanos, task);
    }

    private void call(String uri, long watchNanos) {
        timeout.cancel();
        inFlight = true;
        previousSentAtNanos = sentAtNanos;
        sentAtNanos = loop.nanoTime();
        watchSentAtNanos = watchNanos > 0 ? sentAtNanos : 0;
        if (connection == null || !connection.isUsable()) {
            if (connection != null) {
                connection.drop();
            }
            connection = new RegistryConnection(loop, sockets, address, this);
        }
        connection.call(uri);
        dropTimedOutCall();
        timeout =
                watchNanos > 0
                        ? loop.schedule(
                                watchNanos + pollPolicy.watchGraceNanos(), listener::onWatchOverdue)
                        : loop.schedule(pollPolicy.callTimeoutNanos(), this::timeOut);
    }

    /**
     * Ends a call that is not answered in time: a machine that has failed sends nothing, not even a
     * reset. A response that is still arriving has more time, because the registry may send it in
     * pieces.
     */
    private void timeOut() {
        RegistryConnection called = connection;
        long calledAtNanos = sentAtNanos;
        readNow();
        if (!inFlight || sentAtNanos != calledAtNanos || called != connection) {
            return;
        }
        long now = loop.nanoTime();
        long lastReceived = called.lastReceivedNanos();
        long waitUntil =
                Math.min(
                        lastReceived + pollPolicy.callTimeoutNanos(),
                        calledAtNanos + MAX_RESPONSE_NANOS);
        if (lastReceived > 0 && now < waitUntil) {
            timeout = loop.schedule(waitUntil - now, this::timeOut);
            return;
        }
        if (pollPolicy.isLocalAgent()) {
            // Any response of an agent has all that it knows, so that one open call is enough.
            dropOverdue();
            timedOutCall = called;
            connection = null;
        }
        failCall("no response in time");
    }

    /** Handles, before it returns, what has arrived unread. */
    void readNow() {
        if (overdueWatch != null) {
            overdueWatch.readNow();
        }
        if (timedOutCall != null) {
            timedOutCall.readNow();
        }
        if (connection != null) {
            connection.readNow();
        }
    }

    /**
     * Uses another address from now on. One call to the old address stays open until the new one is
     * answered.
     *
     * @param callLikelyAnswered whether of an overdue watch and the call beside it, the call is the
     *     one that is likely to be answered
     */
    void switchAddress(InetSocketAddress other, boolean callLikelyAnswered) {
        endCall();
        dropTimedOutCall();
        if (connection != null && callLikelyAnswered) {
            dropOverdue();
        }
        if (overdueWatch == null) {
            overdueWatch = connection;
        } else if (connection != null) {
            connection.drop();
        }
        connection = null;
        address = other;
    }

    @Override
    public void onResponse(RegistryConnection source, FullHttpResponse response) {
        if (source == timedOutCall) {
            // The next call is about to be sent, and its response is newer.
            dropTimedOutCall();
            return;
        }
        try {
            if (response.status().code() != 200) {
                onFailure(source, "response with status " + response.status().code());
                return;
            }
            JsonNode list = json.readTree(ByteBufUtil.getBytes(response.content()));
            if (source == overdueWatch) {
                listener.onOverdueList(list);
            } else {
                listener.onList(list);
            }
        } catch (IOException | IllegalArgumentException e) {
            onFailure(source, "malformed response: " + e.getMessage());
        }
    }

    @Override
    public void onFailure(RegistryConnection source, String reason) {
        if (source == overdueWatch) {
            dropOverdue();
        } else if (source == timedOutCall) {
            dropTimedOutCall();
        } else {
            failCall(reason);
        }
    }

    /** Ends the call in flight as failed. An overdue watch may still bring its update. */
    void failCall(String reason) {
        endCall();
        dropConnection();
        listener.onCallFailed(reason);
    }

    /**
     * Drops the overdue watch in favour of the call beside it: a lost watch would otherwise keep
     * the only available socket.
     */
    @Override
    public void onNoSocket(RegistryConnection source, String reason) {
        if (source == connection && overdueWatch != null) {
            dropOverdue();
            endCall();
            connection = null;
            pollSnapshot();
        } else {
            onFailure(source, "no socket: " + reason);
        }
    }

    /** Ends the call in flight, so that its connection is free for the next one. */
    void endCall() {
        inFlight = false;
        timeout.cancel();
    }

    /** Accepts no response to the overdue watch any more. */
    void dropOverdue() {
        if (overdueWatch != null) {
            overdueWatch.drop();
            overdueWatch = null;
        }
    }

    private void dropConnection() {
        if (connection != null) {
            connection.drop();
            connection = null;
        }
    }

    private void dropTimedOutCall() {
        if (timedOutCall != null) {
            timedOutCall.drop();
            timedOutCall = null;
        }
    }

    /** Closes all connections. */
    void dropAll() {
        endCall();
        dropTimedOutCall();
        dropOverdue();
        dropConnection();
    }
}
