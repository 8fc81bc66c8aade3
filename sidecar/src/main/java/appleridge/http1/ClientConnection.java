package appleridge.http1;

import appleridge.transport.SidecarEventLoop;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * One of the application's connections: passes Netty's events to the classes that each do one part
 * of it, and decides when it may be closed.
 *
 * <p>Requests that come before earlier ones are answered are taken at once, for their time runs;
 * the responses are written in the order of the requests. Loop thread only.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** For so long a connection that was rejected for want of room may read why. */
    private static final long MIN_REJECTION_LINGER_MILLIS = 20;

    private final ClientListener listener;
    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final ClientActivity activity;
    private final LingeringClose closing;
    private final ResponsePipeline responses;
    private final RequestIntake intake;
    private boolean rejected;

    private ClientConnection(
            ClientListener listener,
            Channel channel,
            ReadActivityHandler readActivity,
            StrictRequestDecoder decoder) {
        this.listener = listener;
        this.channel = channel;
        this.readActivity = readActivity;
        this.activity = new ClientActivity(loop());
        this.closing = new LingeringClose(channel, readActivity, loop());
        this.responses =
                new ResponsePipeline(this, listener, channel, readActivity, activity, closing);
        this.intake =
                new RequestIntake(
                        this,
                        channel,
                        readActivity,
                        decoder,
                        activity,
                        closing,
                        responses,
                        new RequestDispatcher(listener, channel));
    }

    /** Sets up the pipeline of a connection that has been accepted. */
    static void install(Channel channel, ClientListener listener) {
        ReadActivityHandler readActivity = new ReadActivityHandler();
        StrictRequestDecoder decoder = new StrictRequestDecoder();
        channel.pipeline()
                .addLast(
                        readActivity,
                        decoder,
                        new HttpResponseEncoder(),
                        new ClientConnection(listener, channel, readActivity, decoder));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener.onConnectionOpened(this);
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        // What was read together with something that closed the connection still comes here.
        if (!closing.isInputClosed() && channel.isActive()) {
            intake.onMessage(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        intake.onReadComplete();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.onWritabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing.onChannelInactive();
        responses.onChannelInactive();
        listener.onConnectionClosed(this);
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            listener.log().failure("a client's connection failed", cause);
        }
        channel.close();
    }

    SidecarEventLoop loop() {
        return listener.loop();
    }

    ResponsePipeline responses() {
        return responses;
    }

    /** What has been written and the system has not taken. */
    WriteBacklog writeBacklog() {
        return responses.backlog();
    }

    /** Since when it is idle, or when the request being received began. */
    long stateSinceNanos() {
        return activity.stateSinceNanos();
    }

    void onStreamProgress() {
        activity.onStreamProgress();
    }

    void onUploadAbandoned() {
        intake.onUploadAbandoned();
    }

    /** Reads what the system holds; returns whether the connection is still there. */
    boolean readPendingInput() {
        if (channel.isActive() && channel.config().isAutoRead() && !readActivity.isDelivering()) {
            listener.readNow(channel);
        }
        return channel.isActive();
    }

    void logClosed(HttpResponseStatus status) {
        listener.logClosed("rejected status=" + status.code());
    }

    /** Tells the client that there is no room for it; nothing that it may have asked is read. */
    void rejectForCapacity() {
        reject("no room for another connection");
    }

    private void reject(String why) {
        rejected = true;
        intake.respondAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, why);
    }

    /** Resets the connection, because the client doesn't read. */
    void resetUnread() {
        listener.logClosed("not_read");
        closing.closeInput();
        responses.backlog().reset();
    }

    void close() {
        channel.close();
    }

    /**
     * Ends it if it is idle, without a reset: a request that crosses the end is discarded, and its
     * client sees the end and sends it again elsewhere.
     */
    void shutDownIfIdle() {
        if (isIdle() && channel.isActive()) {
            listener.readNow(channel);
            if (isIdle() && channel.isActive()) {
                closing.closeInput();
                closing.linger();
            }
        }
    }

    /** Closes it if it is idle. */
    void closeIfIdle() {
        if (isIdle()) {
            evict();
        }
    }

    /**
     * Closes it unless a request has come; returns whether it did. What the system holds is read
     * first: after a stall, or while others were served, a request may wait there that would be
     * lost.
     */
    boolean evict() {
        if (isIdle() && channel.isActive() && !readActivity.isDelivering()) {
            listener.readNow(channel);
            if (!isIdle()) {
                return false;
            }
        }
        channel.close();
        return true;
    }

    /** Whether it has had a response and waits for the next request. */
    boolean isKeptIdle() {
        return activity.hasReceivedRequest() && isIdle();
    }

    private boolean isIdle() {
        return responses.isEmpty()
                && !readActivity.hasPartialMessage()
                && !closing.isInputClosed()
                && !responses.backlog().isPending();
    }

    /**
     * Ends it, at the end of the drain, unless a complete request is open. What the system holds is
     * read first, for a request there would be lost; a request that has arrived in part is
     * rejected; and a response that the system has not taken is written before the end, or it would
     * be cut short.
     */
    void closeUnlessRequestOpen() {
        if (responses.isEmpty() && channel.isActive()) {
            listener.readNow(channel);
        }
        if (!responses.isEmpty()) {
            return;
        }
        if (channel.isActive() && !closing.isInputClosed() && readActivity.hasPartialMessage()) {
            listener.logClosed("service_ends_in_request");
            reject("the service ends");
        } else if (channel.isActive() && responses.backlog().isPending()) {
            closeWhenFlushed();
        } else {
            channel.close();
        }
    }

    private void closeWhenFlushed() {
        if (!closing.isInputClosed()) {
            closing.closeInput();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(taken -> closing.linger());
        }
    }

    /**
     * Ends what takes too long: a response that is not read, a request that does not end, a
     * connection that is idle. Each would hold a descriptor for good, also if its client sends a
     * byte now and then.
     */
    void expire(long now, ClientTimeouts timeouts) {
        long idleMillis = activity.stateMillis(now);
        if (responses.backlog().isPending(now, WriteBacklog.MAX_PENDING_NANOS)
                || responses.isStreamStalled(now)) {
            resetUnread();
        } else if (!intake.rejectOverdue(now, timeouts) && idleMillis >= idleLimit(timeouts)) {
            closeIfIdle();
        }
    }

    private long idleLimit(ClientTimeouts timeouts) {
        return activity.hasReceivedRequest()
                ? timeouts.idleMillis()
                : timeouts.firstRequestMillis();
    }

    /**
     * How readily it is closed to make room for another; among equals the longest so goes first.
     */
    EvictionPriority evictionPriority(long now) {
        long stateMillis = activity.stateMillis(now);
        boolean unread =
                responses
                        .backlog()
                        .isPending(
                                now,
                                TimeUnit.MILLISECONDS.toNanos(
                                        ClientTimeouts.MAX_HESITATION_MILLIS));
        boolean rejectionRead = !rejected || stateMillis >= MIN_REJECTION_LINGER_MILLIS;
        if (closing.isLingering() && rejectionRead || unread && responses.isEmpty()) {
            return EvictionPriority.ENDING;
        }
        if (!isIdle()) {
            return EvictionPriority.NEVER;
        }
        if (activity.hasReceivedRequest()) {
            return EvictionPriority.KEPT_IDLE;
        }
        return stateMillis >= ClientTimeouts.MAX_HESITATION_MILLIS
                ? EvictionPriority.SILENT
                : EvictionPriority.NEVER;
    }
}
