package appleridge.testbed.simnet;

import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelId;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import java.nio.channels.ClosedChannelException;

/** A duplex channel whose input and output can be shut down separately. */
abstract class DuplexBase extends AbstractChannel implements DuplexChannel {
    private boolean inputShut;
    private boolean outputShut;

    DuplexBase(Channel parent, ChannelId id) {
        super(parent, id);
    }

    /** Null before the first connect. */
    public abstract SimSocket socket();

    final boolean isInputShut() {
        return inputShut;
    }

    final void shutInput() {
        inputShut = true;
        socket().shutdownInput();
    }

    @Override
    protected final void doShutdownOutput() {
        outputShut = true;
        socket().shutdownOutput();
    }

    @Override
    public final boolean isInputShutdown() {
        return inputShut || !isActive();
    }

    @Override
    public final boolean isOutputShutdown() {
        return outputShut || !isActive();
    }

    @Override
    public final boolean isShutdown() {
        return inputShut && outputShut || !isActive();
    }

    @Override
    public final ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public final ChannelFuture shutdownInput(ChannelPromise promise) {
        if (inLoop(() -> shutdownInput(promise))) {
            if (isActive()) {
                shutInput();
                promise.setSuccess();
            } else {
                promise.setFailure(new ClosedChannelException());
            }
        }
        return promise;
    }

    @Override
    public final ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public final ChannelFuture shutdownOutput(ChannelPromise promise) {
        if (inLoop(() -> shutdownOutput(promise))) {
            ((AbstractUnsafe) unsafe()).shutdownOutput(promise);
        }
        return promise;
    }

    @Override
    public final ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public final ChannelFuture shutdown(ChannelPromise promise) {
        if (inLoop(() -> shutdown(promise))) {
            ChannelFuture output = shutdownOutput();
            ChannelFuture input = shutdownInput();
            if (output.isSuccess() && input.isSuccess()) {
                promise.setSuccess();
            } else {
                promise.setFailure(output.isSuccess() ? input.cause() : output.cause());
            }
        }
        return promise;
    }

    private boolean inLoop(Runnable otherwise) {
        if (eventLoop().inEventLoop()) {
            return true;
        }
        eventLoop().execute(otherwise);
        return false;
    }
}
