package appleridge.testbed.simnet;

import io.netty.channel.AbstractChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;

/** A Netty server channel on the simulated network; behaves like Netty's NIO server channel. */
public final class SimServerChannel extends AbstractChannel implements ServerChannel, SimIo {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);
    private static final int DEFAULT_BACKLOG = 4096;

    private final SimLoop loop;
    private final SimConfig config;
    private SimListener listener;
    private boolean open = true;
    private boolean queued;
    private boolean readInterest;
    private boolean readPending;

    /** Throws if the process has no descriptor left. */
    SimServerChannel(SimLoop loop) {
        super(null, loop.newChannelId());
        this.loop = loop;
        try {
            loop.host().reserve();
        } catch (IOException e) {
            throw new ChannelException("Failed to open a server socket.", e);
        }
        config =
                new SimConfig(
                        this,
                        loop,
                        new ServerChannelRecvByteBufAllocator(),
                        this::clearReadPending);
    }

    /** Null until the channel is bound. */
    public SimListener listener() {
        return listener;
    }

    // ---- the loop

    @Override
    public boolean isReady() {
        return isActive() && isRegistered() && readInterest && listener.waiting() > 0;
    }

    @Override
    public void handle() {
        ChannelPipeline pipeline = pipeline();
        var handle = unsafe().recvBufAllocHandle();
        handle.reset(config);
        List<SimChannel> accepted = new ArrayList<>();
        IOException failure = null;
        try {
            do {
                loop.chargeSocketCall();
                SimSocket socket = listener.accept();
                if (socket == null) {
                    break;
                }
                accepted.add(new SimChannel(this, loop, socket));
                handle.incMessagesRead(1);
            } while (handle.continueReading());
        } catch (IOException e) {
            failure = e;
        }
        for (SimChannel channel : accepted) {
            readPending = false;
            pipeline.fireChannelRead(channel);
        }
        handle.readComplete();
        pipeline.fireChannelReadComplete();
        if (failure != null) {
            pipeline.fireExceptionCaught(failure);
        }
        if (!readPending && !config.isAutoRead()) {
            readInterest = false;
        }
    }

    /** Accepts what waits immediately, without waiting for the loop's next turn. */
    public void acceptNow() {
        if (isReady()) {
            handle();
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
        return open && listener != null && listener.isOpen();
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
    protected AbstractUnsafe newUnsafe() {
        return new SimUnsafe();
    }

    @Override
    protected boolean isCompatible(EventLoop other) {
        return other instanceof SimLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return listener == null ? null : listener.address();
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return null;
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

    @Override
    protected void doBind(SocketAddress localAddress) throws IOException {
        if (loop.isDead()) {
            throw new ClosedChannelException();
        }
        listener =
                loop.host().open((InetSocketAddress) localAddress, config.backlog(DEFAULT_BACKLOG));
        loop.host().unreserve();
        listener.onAcceptable(() -> loop.isReady(this));
    }

    @Override
    protected void doClose() {
        if (open) {
            open = false;
            if (listener == null) {
                loop.host().unreserve();
            } else {
                listener.close();
            }
        }
    }

    @Override
    protected void doDisconnect() {
        throw new UnsupportedOperationException();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer pending) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected Object filterOutboundMessage(Object message) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected void doBeginRead() {
        readPending = true;
        readInterest = true;
        loop.isReady(this);
    }

    private void clearReadPending() {
        readPending = false;
        readInterest = false;
    }

    private final class SimUnsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            safeSetFailure(promise, new UnsupportedOperationException());
        }
    }
}
