package appleridge.testbed.simnet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ConnectionPendingException;
import java.nio.channels.UnresolvedAddressException;
import java.util.concurrent.TimeUnit;

/** A Netty channel on a simulated connection; behaves like Netty's NIO socket channel. */
public final class SimChannel extends DuplexBase implements SimIo {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    private final SimLoop loop;
    private final SimConfig config;
    private SimSocket socket;
    private boolean open = true;
    private boolean connected;
    private boolean connectDone;
    private IOException connectFailure;
    private ChannelPromise connectPromise;
    private Future<?> connectTimeout;
    private boolean queued;
    private boolean readInterest;
    private boolean readPending;
    private boolean writeInterest;
    private boolean errorSeenAfterInput;

    /** Creates an unconnected channel; throws if the process has no descriptor left. */
    SimChannel(SimLoop loop) {
        super(null, loop.newChannelId());
        this.loop = loop;
        try {
            loop.host().reserve();
        } catch (IOException e) {
            throw new ChannelException("Failed to open a socket.", e);
        }
        config = newConfig();
    }

    /** Creates the channel of an accepted connection. */
    SimChannel(Channel parent, SimLoop loop, SimSocket accepted) {
        super(parent, loop.newChannelId());
        this.loop = loop;
        config = newConfig();
        socket = accepted;
        connected = true;
        connectDone = true;
        accepted.events(new SocketEvents());
    }

    private SimConfig newConfig() {
        return new SimConfig(
                this, loop, new AdaptiveRecvByteBufAllocator(), this::clearReadPending);
    }

    @Override
    public SimSocket socket() {
        return socket;
    }

    /** Reads what is available immediately, without waiting for the loop's next turn. */
    public void readNow() {
        if (isActive()) {
            ((SimUnsafe) unsafe()).read();
        }
    }

    // ---- the loop

    @Override
    public boolean isReady() {
        return open
                && isRegistered()
                && (connected
                        ? readInterest && socket.isReadable()
                                || writeInterest && socket.isWritable()
                        : connectDone && connectPromise != null);
    }

    @Override
    public void handle() {
        SimUnsafe unsafe = (SimUnsafe) unsafe();
        if (!connected) {
            unsafe.finishConnect();
        }
        if (open && connected && writeInterest && socket.isWritable()) {
            unsafe.forceFlush();
        }
        if (open && connected && readInterest && socket.isReadable()) {
            unsafe.read();
        }
    }

    @Override
    public boolean isQueued() {
        return queued;
    }

    @Override
    public void queued(boolean now) {
        queued = now;
    }

    @Override
    public void forget() {
        open = false;
        if (socket != null) {
            socket.events(new SimSocket.Events() {});
        }
    }

    // ---- the channel

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && connected;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    @Override
    public InetSocketAddress localAddress() {
        return (InetSocketAddress) super.localAddress();
    }

    @Override
    public InetSocketAddress remoteAddress() {
        return (InetSocketAddress) super.remoteAddress();
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new SimUnsafe();
    }

    @Override
    protected boolean isCompatible(EventLoop other) {
        return other instanceof SimLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return socket == null ? null : socket.local();
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return connected ? socket.remote() : null;
    }

    @Override
    protected void doRegister(ChannelPromise promise) {
        loop.registered(this);
        promise.setSuccess();
    }

    @Override
    protected void doDeregister() {
        loop.deregistered(this);
    }

    /** Does nothing: the local port is always assigned by the simulated host. */
    @Override
    protected void doBind(SocketAddress localAddress) {}

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        if (open) {
            open = false;
            releaseSocket();
        }
        ChannelPromise promise = connectPromise;
        if (promise != null) {
            connectPromise = null;
            promise.tryFailure(new ClosedChannelException());
        }
        if (connectTimeout != null) {
            connectTimeout.cancel(false);
            connectTimeout = null;
        }
    }

    private void releaseSocket() {
        if (socket == null) {
            loop.host().unreserve();
        } else if (config.resetsOnClose()) {
            socket.reset();
        } else {
            socket.close();
        }
    }

    @Override
    protected void doBeginRead() {
        if (!isInputShut()) {
            readPending = true;
            readInterest = true;
            loop.isReady(this);
        }
    }

    private void clearReadPending() {
        readPending = false;
        readInterest = false;
    }

    /** Writes all flushed messages in one call, like a gathering write. */
    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
        byte[] bytes = loop.scratch();
        while (true) {
            GatheringCopier copier = new GatheringCopier(bytes);
            pending.forEachFlushedMessage(copier);
            int done = 0;
            if (copier.length() > 0) {
                loop.chargeSocketCall();
                done = socket.write(bytes, 0, copier.length());
            }
            pending.removeBytes(done);
            if (done < copier.length() || pending.isEmpty()) {
                writeInterest = done < copier.length();
                return;
            }
        }
    }

    @Override
    protected Object filterOutboundMessage(Object message) {
        if (message instanceof ByteBuf) {
            return message;
        }
        throw new UnsupportedOperationException("unsupported message type: " + message.getClass());
    }

    private int readBytes(ByteBuf into) throws IOException {
        loop.chargeSocketCall();
        int most = into.writableBytes();
        if (into.hasArray()) {
            int length = socket.read(into.array(), into.arrayOffset() + into.writerIndex(), most);
            if (length > 0) {
                into.writerIndex(into.writerIndex() + length);
            }
            return length;
        }
        byte[] bytes = loop.scratch();
        int length = socket.read(bytes, 0, Math.min(most, bytes.length));
        if (length > 0) {
            into.writeBytes(bytes, 0, length);
        }
        return length;
    }

    /** PositionQueue the channel ready on socket events; the loop handles it on its next turn. */
    private final class SocketEvents implements SimSocket.Events {
        @Override
        public void connected() {
            connectDone = true;
            loop.isReady(SimChannel.this);
        }

        @Override
        public void failed(IOException why) {
            connectDone = true;
            connectFailure = why;
            loop.isReady(SimChannel.this);
        }

        @Override
        public void readable() {
            loop.isReady(SimChannel.this);
        }

        @Override
        public void writable() {
            loop.isReady(SimChannel.this);
        }
    }

    private final class SimUnsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            if (promise.isDone() || !ensureOpen(promise)) {
                return;
            }
            try {
                if (connectPromise != null || connected) {
                    throw new ConnectionPendingException();
                }
                if (loop.isDead()) {
                    throw new ClosedChannelException();
                }
                if (((InetSocketAddress) remote).isUnresolved()) {
                    throw new UnresolvedAddressException();
                }
                loop.chargeSocketCall();
                loop.host().unreserve();
                socket = loop.host().open((InetSocketAddress) remote, new SocketEvents());
                connectPromise = promise;
                scheduleTimeout(remote);
                promise.addListener(
                        future -> {
                            if (future.isCancelled()) {
                                connectPromise = null;
                                close(voidPromise());
                            }
                        });
            } catch (Throwable e) {
                promise.tryFailure(annotateConnectException(e, remote));
                closeIfClosed();
            }
        }

        private void scheduleTimeout(SocketAddress remote) {
            int millis = config.getConnectTimeoutMillis();
            if (millis > 0) {
                connectTimeout =
                        loop.schedule(
                                () -> {
                                    ChannelPromise promise = connectPromise;
                                    if (promise != null
                                            && promise.tryFailure(
                                                    new ConnectTimeoutException(
                                                            "connection timed out after "
                                                                    + millis
                                                                    + " ms: "
                                                                    + remote))) {
                                        close(voidPromise());
                                    }
                                },
                                millis,
                                TimeUnit.MILLISECONDS);
            }
        }

        void finishConnect() {
            ChannelPromise promise = connectPromise;
            connectPromise = null;
            if (connectTimeout != null) {
                connectTimeout.cancel(false);
                connectTimeout = null;
            }
            loop.chargeSocketCall();
            if (connectFailure == null && socket.isReset()) {
                socket.close();
                connectFailure = new IOException("Connection reset by peer");
            }
            if (connectFailure != null) {
                open = false;
                promise.tryFailure(annotateConnectException(connectFailure, socket.remote()));
                closeIfClosed();
                return;
            }
            connected = true;
            boolean notified = promise.trySuccess();
            pipeline().fireChannelActive();
            if (!notified) {
                close(voidPromise());
            }
        }

        @Override
        protected void flush0() {
            if (!writeInterest) {
                super.flush0();
            }
        }

        void forceFlush() {
            super.flush0();
        }

        void read() {
            if (isInputShut() && (errorSeenAfterInput || !config.allowsHalfClosure())) {
                clearReadPending();
                return;
            }
            ChannelPipeline pipeline = pipeline();
            ByteBufAllocator allocator = config.getAllocator();
            var handle = recvBufAllocHandle();
            handle.reset(config);
            ByteBuf buffer = null;
            boolean end = false;
            try {
                do {
                    buffer = handle.allocate(allocator);
                    handle.attemptedBytesRead(buffer.writableBytes());
                    handle.lastBytesRead(readBytes(buffer));
                    if (handle.lastBytesRead() <= 0) {
                        buffer.release();
                        buffer = null;
                        end = handle.lastBytesRead() < 0;
                        if (end) {
                            readPending = false;
                        }
                        break;
                    }
                    handle.incMessagesRead(1);
                    readPending = false;
                    ByteBuf full = buffer;
                    buffer = null;
                    pipeline.fireChannelRead(full);
                } while (handle.continueReading());
                handle.readComplete();
                pipeline.fireChannelReadComplete();
                if (end) {
                    closeOnRead(pipeline);
                }
            } catch (Throwable e) {
                readFailed(pipeline, buffer, e, end);
            } finally {
                if (!readPending && !config.isAutoRead()) {
                    readInterest = false;
                }
            }
        }

        private void readFailed(
                ChannelPipeline pipeline, ByteBuf buffer, Throwable why, boolean end) {
            if (buffer != null) {
                buffer.release();
            }
            recvBufAllocHandle().readComplete();
            pipeline.fireChannelReadComplete();
            pipeline.fireExceptionCaught(why);
            if (end || why instanceof IOException) {
                closeOnRead(pipeline);
            }
        }

        private void closeOnRead(ChannelPipeline pipeline) {
            if (!isInputShut()) {
                if (config.allowsHalfClosure()) {
                    shutInput();
                    pipeline.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
                } else {
                    close(voidPromise());
                }
            } else if (!errorSeenAfterInput) {
                errorSeenAfterInput = true;
                pipeline.fireUserEventTriggered(ChannelInputShutdownReadComplete.INSTANCE);
            }
        }
    }
}
