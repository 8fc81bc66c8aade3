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

/** A Netty channel on a simulated connection, which behaves as Netty's NIO socket channel does. */
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
    private boolean listed;
    private boolean readInterest;
    private boolean readPending;
    private boolean writeInterest;
    private boolean errorSeenAfterInput;

    /** One that is to connect; throws if the process is out of descriptors. */
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

    /** One that was accepted. */
    SimChannel(Channel parent, SimLoop loop, SimSocket accepted) {
        super(parent, loop.newChannelId());
        this.loop = loop;
        config = newConfig();
        socket = accepted;
        connected = true;
        connectDone = true;
        accepted.events(new Ears());
    }

    private SimConfig newConfig() {
        return new SimConfig(
                this, loop, new AdaptiveRecvByteBufAllocator(), this::clearReadPending);
    }

    @Override
    public SimSocket socket() {
        return socket;
    }

    /** Reads at once, within the caller's event, what the system holds. */
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
    public boolean isListed() {
        return listed;
    }

    @Override
    public void listed(boolean now) {
        listed = now;
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

    /** The port is the system's choice here. */
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
            leave();
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

    private void leave() {
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

    /** All that is flushed goes to the system in one piece, as with a gathering write. */
    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
        byte[] bytes = loop.scratch();
        while (true) {
            Gathered gathered = new Gathered(bytes);
            pending.forEachFlushedMessage(gathered);
            int done = 0;
            if (gathered.length() > 0) {
                loop.touchSocket();
                done = socket.write(bytes, 0, gathered.length());
            }
            pending.removeBytes(done);
            if (done < gathered.length() || pending.isEmpty()) {
                writeInterest = done < gathered.length();
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
        loop.touchSocket();
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

    /** Hears of the socket; the loop acts when it is free. */
    private final class Ears implements SimSocket.Events {
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
                loop.touchSocket();
                loop.host().unreserve();
                socket = loop.host().open((InetSocketAddress) remote, new Ears());
                connectPromise = promise;
                planTimeout(remote);
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

        private void planTimeout(SocketAddress remote) {
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
            loop.touchSocket();
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
            boolean told = promise.trySuccess();
            pipeline().fireChannelActive();
            if (!told) {
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
