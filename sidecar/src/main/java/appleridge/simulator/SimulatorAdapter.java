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

/** {@code java -jar appleridge.jar adapter}: plays the wire on standard input and output. */
public final class SimulatorAdapter {
    private static final int HEADER = 16;

    private SimulatorAdapter() {}

    /**
     * Runs the adapter until input ends; a malformed frame ends it with a message and exit status
     * 1.
     */
    public static void main() {
        try {
            run(
                    new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out));
        } catch (IllegalArgumentException | IOException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.exit(1);
        }
    }

    static void run(InputStream in, OutputStream out) throws IOException {
        ReplyFrame replies = new ReplyFrame();
        PolicyHost host = new PolicyHost(replies);
        byte[] header = new byte[HEADER];
        byte[] body = new byte[1 << 16];
        for (long frame = 0; ; frame++) {
            int got = in.readNBytes(header, 0, HEADER);
            if (got == 0) {
                return;
            }
            if (got < HEADER) {
                throw new MalformedFrameException(
                        "frame " + frame + ": header cut short after " + got + " bytes");
            }
            ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            long now = head.getLong();
            long length = head.getInt() & 0xffffffffL;
            long records = head.getInt() & 0xffffffffL;
            if (now < 0 || length < HEADER || length > Integer.MAX_VALUE - 64) {
                throw new MalformedFrameException(
                        "frame " + frame + ": clock or length out of range");
            }
            int size = (int) length - HEADER;
            if (body.length < size) {
                body = new byte[size + size / 2];
            }
            got = in.readNBytes(body, 0, size);
            if (got < size) {
                throw new MalformedFrameException(
                        "frame "
                                + frame
                                + ": states "
                                + length
                                + " bytes, ends after "
                                + (got + HEADER));
            }
            try {
                host.batch(now, records, new FrameReader(body, size));
            } catch (IllegalArgumentException e) {
                throw new MalformedFrameException("frame " + frame + ": " + e.getMessage());
            }
            replies.writeTo(out);
        }
    }
}
