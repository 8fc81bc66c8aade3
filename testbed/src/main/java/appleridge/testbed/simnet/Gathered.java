package appleridge.testbed.simnet;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;

/** Copies flushed messages one behind the other, as far as there is room. */
final class Gathered implements ChannelOutboundBuffer.MessageProcessor {
    private final byte[] bytes;
    private int length;

    Gathered(byte[] bytes) {
        this.bytes = bytes;
    }

    int length() {
        return length;
    }

    @Override
    public boolean processMessage(Object message) {
        ByteBuf buffer = (ByteBuf) message;
        int part = Math.min(buffer.readableBytes(), bytes.length - length);
        buffer.getBytes(buffer.readerIndex(), bytes, length, part);
        length += part;
        return length < bytes.length;
    }
}
