package appleridge.simulator;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * The command {@code java -jar appleridge.jar adapter}: speaks the simulator's wire protocol on
 * standard input and output.
 */
public final class SimulatorAdapter {
    /** Clock (8 bytes, nanoseconds), length of the frame and number of records (4 bytes each). */
    private static final int HEADER_BYTES = 16;

    private static final int INITIAL_BODY_BYTES = 1 << 16;
    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    /** The largest array that every JVM can allocate; a frame's body is read into one array. */
    private static final long MAX_FRAME_BYTES = Integer.MAX_VALUE - 64;

    private static final long UNSIGNED_INT_MASK = 0xffffffffL;

    private SimulatorAdapter() {}

    /**
     * Runs the adapter until the input ends. Exits with status 1 and a message on standard error if
     * a frame is malformed or I/O fails.
     */
    public static void main() {
        try {
            run(
                    new BufferedInputStream(
                            new FileInputStream(FileDescriptor.in), INPUT_BUFFER_BYTES),
                    new FileOutputStream(FileDescriptor.out));
        } catch (IllegalArgumentException | IOException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.exit(1);
        }
    }

    /**
     * Replies to each event frame of {@code in} with an action frame on {@code out}, until the
     * input ends.
     *
     * @throws MalformedFrameException naming the frame, if one violates the wire protocol
     */
    static void run(InputStream in, OutputStream out) throws IOException {
        ReplyFrame replies = new ReplyFrame();
        PolicyHost policies = new PolicyHost(replies);
        byte[] header = new byte[HEADER_BYTES];
        byte[] body = new byte[INITIAL_BODY_BYTES];
        for (long frame = 0; readHeader(in, header, frame); frame++) {
            ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            long now = fields.getLong();
            long length = fields.getInt() & UNSIGNED_INT_MASK;
            long records = fields.getInt() & UNSIGNED_INT_MASK;
            if (now < 0 || length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
                throw new MalformedFrameException(
                        "frame " + frame + ": clock or length out of range");
            }
            int size = (int) length - HEADER_BYTES;
            if (body.length < size) {
                body = new byte[size + size / 2];
            }
            readBody(in, body, size, frame);
            try {
                policies.handleBatch(now, records, new FrameReader(body, size));
            } catch (IllegalArgumentException e) {
                throw new MalformedFrameException("frame " + frame + ": " + e.getMessage());
            }
            replies.writeTo(out);
        }
    }

    /** Reads the header of the next frame; returns false at the end of the input. */
    private static boolean readHeader(InputStream in, byte[] header, long frame)
            throws IOException {
        int read = in.readNBytes(header, 0, HEADER_BYTES);
        if (read > 0 && read < HEADER_BYTES) {
            throw new MalformedFrameException(
                    "frame " + frame + ": header cut short after " + read + " bytes");
        }
        return read > 0;
    }

    private static void readBody(InputStream in, byte[] body, int size, long frame)
            throws IOException {
        int read = in.readNBytes(body, 0, size);
        if (read < size) {
            throw new MalformedFrameException(
                    "frame "
                            + frame
                            + ": states "
                            + (size + HEADER_BYTES)
                            + " bytes, ends after "
                            + (read + HEADER_BYTES));
        }
    }
}
