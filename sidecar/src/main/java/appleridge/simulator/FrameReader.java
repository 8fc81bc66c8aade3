package appleridge.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Reads the little-endian fields of one frame's body, never past the end of the current record. A
 * method named after a type reads one number of that type: {@code u16} an unsigned 16-bit integer.
 * Each throws a {@link MalformedFrameException} if the record ends before the field does. Not
 * thread-safe.
 */
final class FrameReader {
    private final ByteBuffer buffer;
    private int recordStart;
    private int recordEnd;

    FrameReader(byte[] bytes, int length) {
        buffer = ByteBuffer.wrap(bytes, 0, length).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Starts the next record and returns its event code, as defined in {@link WireCodes}. */
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
                            + " bytes, but only "
                            + buffer.remaining()
                            + " are left in the frame");
        }
        recordEnd = buffer.position() + (int) length;
        return code;
    }

    /** Ends the current record and skips fields that a later protocol version added to it. */
    void endRecord() {
        buffer.position(recordEnd);
    }

    /** Returns the offset of the current record in the frame's body, in bytes. */
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
     * Reads a time in nanoseconds. It is unsigned on the wire, but no clock or duration needs the
     * top bit.
     *
     * @param field the name of the field in error messages
     */
    long nanos(String field) {
        long value = i64();
        if (value < 0) {
            throw new MalformedFrameException(
                    field + " out of range in the record at byte " + recordStart);
        }
        return value;
    }

    /** Reads an upstream host: a 4-byte address and a 2-byte port, packed as an opaque id. */
    long upstream() {
        long address = u32();
        return address << 16 | u16();
    }

    byte[] bytes(long count) {
        requireBytes(count);
        byte[] data = new byte[(int) count];
        buffer.get(data);
        return data;
    }

    String text(long count) {
        return new String(bytes(count), StandardCharsets.UTF_8);
    }

    /**
     * Reads a load report: a count (1 byte) and that many values; an empty array if there is none.
     */
    float[] loadReport() {
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

    /**
     * Returns the value that a code on the wire stands for.
     *
     * @param field the name of the field in error messages
     * @throws MalformedFrameException if there is no value for the code
     */
    <T> T valueOf(T[] values, int code, String field) {
        if (code >= values.length) {
            throw new MalformedFrameException(
                    field + " " + code + " out of range in the record at byte " + recordStart);
        }
        return values[code];
    }
}
