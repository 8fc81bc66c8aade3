package appleridge.http1;

import appleridge.request.BufferBudget;
import appleridge.request.BufferKind;
import appleridge.request.ClientPresence;
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
 * One client connection. Passes Netty's events to {@link RequestIntake} and {@link
 * ResponsePipeline}, and decides when the connection may be closed.
 *
 * <p>Pipelined requests are processed as soon as they arrive, because their deadlines run from then
 * on; the responses are written in the order of the requests. Event loop only.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** How long a client rejected at the connection limit has at least to read the response. */
    private static final long MIN_REJECTION_LINGER_MILLIS = 20;

    private final ClientListener listener;
    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final ClientActivity activity;
    private final InputLagTracker inputLag;
    private final ClientPresenceTracker presence;
    private final PendingInputReader input;
    private final LingeringClose closing;
    private final ResponsePipeline responses;
    private final RequestIntake intake;
    private final BufferBudget.Account responseBuffers;
    private boolean rejected;

    private ClientConnection(
            ClientListener listener,
            Channel channel,
            ReadActivityHandler readActivity,
            StrictRequestDecoder decoder) {
        this.listener = listener;
        this.channel = channel;
        this.readActivity = readActivity;
        this.responseBuffers = listener.buffers().responses().newAccount();
        this.activity = new ClientActivity(loop());
        this.inputLag =
                new InputLagTracker(
                        loop(),
                        loop(),
                        activity.stateSinceNanos(),
                        channel,
                        listener.coordinator()::earliestArrivalNanos,
                        this::readPendingInput);
        this.presence =
                new ClientPresenceTracker(
                        loop(), channel, listener.openedWithinNanos(), this::readPendingInput);
        this.input = new PendingInputReader(listener, channel, readActivity, presence);
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
                        inputLag,
                        closing,
                        responses,
                        new RequestDispatcher(listener, this, readActivity),
                        new RequestBuffer(listener.buffers().requests()));
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
        loop().execute(input::readFirstInput);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        // Messages decoded from the same read still arrive after one of them closed the connection.
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
        intake.onChannelInactive();
        responses.onChannelInactive();
        listener.onConnectionClosed(this);
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            listener.log().failure("client connection failed", cause);
        }
        channel.close();
    }

    SidecarEventLoop loop() {
        return listener.loop();
    }

    BufferBudgets buffers() {
        return listener.buffers();
    }

    ResponsePipeline responses() {
        return responses;
    }

    /** Creates an empty reservation for a response that is held for this client. */
    BufferBudget.Reservation reserveResponse(BufferKind kind) {
        return responseBuffers.reserve(kind);
    }

    /**
     * The earliest time at which the client may have sent the last byte of a request that is being
     * read and is the last of the {@link #responses}. Where it was pipelined behind one whose
     * upstream was slow, it may have waited unread.
     */
    long earliestArrivalNanos() {
        long earliestRead = listener.coordinator().earliestArrivalNanos();
        boolean pipelined = responses.size() > 1;
        return inputLag.isBehind() && pipelined
                ? Math.min(earliestRead, inputLag.caughtUpNanos())
                : earliestRead;
    }

    /** What is known of the client now; reads pending input if that is needed to know it. */
    ClientPresence clientPresence() {
        if (channel.isActive() && !presence.isFreshlySeen(loop().nanoTime())) {
            readPendingInput();
        }
        if (!channel.isActive()) {
            return ClientPresence.DISCONNECTED;
        }
        return presence.isSeen(loop().nanoTime()) ? ClientPresence.PRESENT : ClientPresence.UNKNOWN;
    }

    /** When the client was last known to be connected. */
    ClientPresenceTracker presence() {
        return presence;
    }

    /** For how long the client has not been known to be there; {@link Long#MAX_VALUE} if never. */
    long clientSeenAgoNanos() {
        return presence.seenAgoNanos(loop().nanoTime());
    }

    /** The responses that are written but not yet accepted by the kernel. */
    WriteBacklog writeBacklog() {
        return responses.backlog();
    }

    /** When the connection became idle, or when the request being received began. */
    long stateSinceNanos() {
        return activity.stateSinceNanos();
    }

    void onStreamProgress() {
        activity.onStreamProgress();
    }

    void onUploadAbandoned() {
        intake.upload().abandon();
    }

    /** Reads pending input; see {@link PendingInputReader#readPendingInput}. */
    boolean readPendingInput() {
        return input.readPendingInput();
    }

    /** Whether {@link #readPendingInput} left nothing unread. */
    boolean isInputDrained() {
        return input.isInputDrained();
    }

    void logClosed(HttpResponseStatus status) {
        listener.logClosed("rejected status=" + status.code());
    }

    /** Responds that the connection limit is reached, without reading any request. */
    void rejectForCapacity() {
        reject("no room for another connection");
    }

    private void reject(String message) {
        rejected = true;
        intake.respondAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, message);
    }

    /** Resets the connection because the client does not read its responses. */
    void resetUnread() {
        listener.logClosed("not_read");
        closing.closeInput();
        responses.backlog().reset();
    }

    void close() {
        channel.close();
    }

    /**
     * Closes the connection in order if it is idle. A request that arrives after this is discarded;
     * its client sees the end of the connection, not a reset, and can send it again elsewhere.
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

    /** Closes the connection if it is idle. */
    void closeIfIdle() {
        if (isIdle()) {
            evict();
        }
    }

    /**
     * Closes the connection unless a request has arrived. Returns whether it was closed. Reads
     * pending input first: after a stall, or while other connections were served, the socket may
     * hold an unread request, which closing would lose.
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

    /** Whether the connection has had a request answered and waits for the next one. */
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
     * Closes the connection at the end of the drain unless a complete request is open. Pending
     * input is read first, because an unread request would be lost. A partly received request is
     * rejected. A response that is not yet in the socket is flushed before the close, which would
     * truncate it.
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
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> closing.linger());
        }
    }

    /**
     * Enforces the time limits: resets a connection whose client does not read its response,
     * rejects a request that takes too long to arrive, and closes an idle connection. Without them
     * each could hold a descriptor forever, even one whose client sends a byte now and then.
     */
    void expire(long now, ClientTimeouts timeouts) {
        long stateMillis = activity.stateMillis(now);
        intake.upload().retryReadAhead();
        if (responses.backlog().isPending(now, WriteBacklog.MAX_PENDING_NANOS)
                || responses.isStreamStalled(now)) {
            resetUnread();
        } else if (!intake.rejectOverdue(now, timeouts)
                && stateMillis >= idleLimitMillis(timeouts)) {
            closeIfIdle();
        }
    }

    private long idleLimitMillis(ClientTimeouts timeouts) {
        return activity.hasReceivedRequest()
                ? timeouts.idleMillis()
                : timeouts.firstRequestMillis();
    }

    /**
     * The priority of this connection for eviction. Among equals, the one that has been in its
     * state for longest is evicted first.
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
        boolean rejectionLingered = !rejected || stateMillis >= MIN_REJECTION_LINGER_MILLIS;
        if (closing.isLingering() && rejectionLingered || unread && responses.isEmpty()) {
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
