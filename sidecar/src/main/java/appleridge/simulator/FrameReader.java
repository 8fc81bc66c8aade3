package appleridge.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Reads little-endian fields of one frame's body and never runs past the end of the current record.
 * Methods named after a type read one number of it: {@code u16} an unsigned one of 16 bits. Each
 * throws a {@link MalformedFrameException} where the record ends before the field does. Not
 * thread-safe.
 */
final class FrameReader {
    private final ByteBuffer buffer;
    private int recordStart;
    private int recordEnd;

    FrameReader(byte[] bytes, int length) {
        buffer = ByteBuffer.wrap(bytes, 0, length).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Starts the next record and returns its code, one of the events of {@link WireCodes}. */
    int nextRecord() {
        recordStart = buffer.position();
        if (buffer.remaining() < WireCodes.RECORD_HEADER_BYTES) {
            throw new MalformedFrameException("record header cut short at byte " + recordStart);
        }
        int code = buffer.get() & 0xff;
        long length = buffer.getInt() & 0xffffffffL;
        if (length > buffer.remaining()) {
            throw new MalformedFrameException(
                    "record at byte "
                            + recordStart
                            + " states "
                            + length
                            + " bytes, "
                            + buffer.remaining()
                            + " are left");
        }
        recordEnd = buffer.position() + (int) length;
        return code;
    }

    /** Ends a record; fields added by later versions of the wire are passed over. */
    void endRecord() {
        buffer.position(recordEnd);
    }

    int recordStart() {
        return recordStart;
    }

    boolean atEnd() {
        return !buffer.hasRemaining();
    }

    private void requireBytes(long bytes) {
        if (bytes > recordEnd - buffer.position()) {
            throw new MalformedFrameException(
                    "field cut short in the record at byte " + recordStart);
        }
    }

    int u8() {
        requireBytes(1);
        return buffer.get() & 0xff;
    }

    int u16() {
        requireBytes(2);
        return buffer.getShort() & 0xffff;
    }

    long u32() {
        requireBytes(4);
        return buffer.getInt() & 0xffffffffL;
    }

    long i64() {
        requireBytes(8);
        return buffer.getLong();
    }

    float f32() {
        requireBytes(4);
        return buffer.getFloat();
    }

    /**
     * A time in nanoseconds: unsigned on the wire, but no clock or duration reaches the top bit.
     */
    long time(String field) {
        long value = i64();
        if (value < 0) {
            throw new MalformedFrameException(
                    field + " out of range in the record at byte " + recordStart);
        }
        return value;
    }

    /** An upstream host: four address bytes and a port, packed as one opaque number. */
    long upstream() {
        long address = u32();
        return address << 16 | u16();
    }

    byte[] bytes(long count) {
        requireBytes(count);
        byte[] out = new byte[(int) count];
        buffer.get(out);
        return out;
    }

    String text(long count) {
        return new String(bytes(count), StandardCharsets.UTF_8);
    }

    /** A load report: a count (1 byte) and so many values; an empty array for none. */
    float[] report() {
        int count = u8();
        if (count == 0) {
            return ReplyFrame.NO_REPORT;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = f32();
        }
        return values;
    }

    /** The value an ordinal names, or an error saying which field was out of range. */
    <T> T choice(T[] values, int ordinal, String field) {
        if (ordinal >= values.length) {
            throw new MalformedFrameException(
                    field + " " + ordinal + " out of range in the record at byte " + recordStart);
        }
        return values[ordinal];
    }
}
