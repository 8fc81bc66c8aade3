package appleridge.testbed.simnet;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;

/** Copies flushed messages one after the other into an array until the array is full. */
final class GatheringCopier implements ChannelOutboundBuffer.MessageProcessor {
    private final byte[] bytes;
    private int length;

    GatheringCopier(byte[] bytes) {
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
