package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.function.BooleanSupplier;

/**
 * Keeps the last byte of one message back until all before it is with the socket, and asks then
 * whether it may go. Danger: a write that waits for its reader goes on by itself when there is
 * room, however long that takes and without anyone being asked; the last byte is what makes an
 * upstream run the request. Leaves the pipeline when the message has gone, or its connection.
 */
final class FinalByteGate extends ChannelOutboundHandlerAdapter {
    private final BooleanSupplier mayGo;
    private ByteBuf kept;
    private ChannelPromise keptPromise;
    private Future<Void> before;

    FinalByteGate(BooleanSupplier mayGo) {
        this.mayGo = mayGo;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ByteBuf part = (ByteBuf) message;
        if (!part.isReadable()) {
            ctx.write(part, promise);
            return;
        }
        if (kept != null) {
            ctx.write(kept, keptPromise);
        }
        int all = part.readableBytes();
        kept = part.retainedSlice(part.readerIndex() + all - 1, 1);
        keptPromise = promise;
        before = ctx.write(part.writerIndex(part.writerIndex() - 1));
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        ctx.flush();
        if (kept == null) {
            return;
        }
        ByteBuf last = kept;
        ChannelPromise promise = keptPromise;
        kept = null;
        before.addListener(
                done -> {
                    if (done.isSuccess() && mayGo.getAsBoolean()) {
                        ctx.writeAndFlush(last, promise);
                    } else {
                        last.release();
                        promise.setFailure(done.isSuccess() ? new LateException() : done.cause());
                    }
                    if (!ctx.isRemoved()) {
                        ctx.pipeline().remove(this);
                    }
                });
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        if (kept != null) {
            kept.release();
            keptPromise.tryFailure(new LateException());
            kept = null;
        }
    }

    /** The last byte may not go any more. */
    static final class LateException extends Exception {
        private static final long serialVersionUID = 1L;

        LateException() {
            super("the request's window has passed", null, false, false);
        }
    }
}
