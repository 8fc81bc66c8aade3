package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.function.BooleanSupplier;

/**
 * Holds back the last byte of one message until the socket has taken all bytes before it, and
 * checks then whether the last byte may still be written. Removes itself when the message has been
 * written or its connection has closed.
 *
 * <p>Invariant: the last byte, which makes an upstream run the request, is not written after its
 * deadline. Without the gate a write that waits for a slow reader would complete at any later time.
 * Event loop only.
 */
final class FinalByteGate extends ChannelOutboundHandlerAdapter {
    private final BooleanSupplier mayRelease;
    private ByteBuf heldByte;
    private ChannelPromise heldPromise;
    private Future<Void> precedingWrite;

    /** Creates a gate; {@code mayRelease} tells whether the last byte may still be written. */
    FinalByteGate(BooleanSupplier mayRelease) {
        this.mayRelease = mayRelease;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ByteBuf part = (ByteBuf) message;
        if (!part.isReadable()) {
            ctx.write(part, promise);
            return;
        }
        if (heldByte != null) {
            ctx.write(heldByte, heldPromise);
        }
        int length = part.readableBytes();
        heldByte = part.retainedSlice(part.readerIndex() + length - 1, 1);
        heldPromise = promise;
        precedingWrite = ctx.write(part.writerIndex(part.writerIndex() - 1));
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        ctx.flush();
        if (heldByte == null) {
            return;
        }
        ByteBuf last = heldByte;
        ChannelPromise promise = heldPromise;
        heldByte = null;
        precedingWrite.addListener(
                done -> {
                    if (done.isSuccess() && mayRelease.getAsBoolean()) {
                        ctx.writeAndFlush(last, promise);
                    } else {
                        last.release();
                        promise.setFailure(
                                done.isSuccess() ? new TooLateException() : done.cause());
                    }
                    if (!ctx.isRemoved()) {
                        ctx.pipeline().remove(this);
                    }
                });
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        if (heldByte != null) {
            heldByte.release();
            heldPromise.tryFailure(new TooLateException());
            heldByte = null;
        }
    }

    /** The last byte was not written, because its deadline has passed. */
    static final class TooLateException extends Exception {
        private static final long serialVersionUID = 1L;

        TooLateException() {
            super("the deadline for the request's last byte has passed", null, false, false);
        }
    }
}
