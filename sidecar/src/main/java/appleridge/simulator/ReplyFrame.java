package appleridge.simulator;

import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.PolicyActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Collects the actions of one batch as a reply frame: count of records (4 bytes), length of the
 * frame (4 bytes), records. Written as a whole or not at all. Not thread-safe.
 */
final class ReplyFrame {
    static final float[] NO_REPORT = {};
    private static final int HEADER_BYTES = 8;
    private static final int LENGTH_OFFSET = 4;
    private static final int INITIAL_BYTES = 1 << 16;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int count;

    ReplyFrame() {
        clear();
    }

    /** A sink that writes actions in one sidecar's name. */
    PolicyActions sink(int sidecar) {
        return new Sink(sidecar);
    }

    /** Drops what was collected. */
    void clear() {
        buffer.position(HEADER_BYTES);
        count = 0;
    }

    /** Writes the frame and begins the next one. */
    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, count);
        buffer.putInt(LENGTH_OFFSET, buffer.position());
        out.write(bytes, 0, buffer.position());
        out.flush();
        clear();
    }

    private void begin(int code, int fields, int sidecar) {
        if (buffer.remaining() < fields + WireCodes.RECORD_HEADER_BYTES) {
            int position = buffer.position();
            bytes =
                    Arrays.copyOf(
                            bytes,
                            Math.max(
                                    bytes.length * 2,
                                    position + fields + WireCodes.RECORD_HEADER_BYTES));
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).position(position);
        }
        buffer.put((byte) code).putInt(fields).putShort((short) sidecar);
        count++;
    }

    private final class Sink implements PolicyActions {
        private final int sidecar;

        Sink(int sidecar) {
            this.sidecar = sidecar;
        }

        private void upstream(long id) {
            buffer.putInt((int) (id >>> 16)).putShort((short) id);
        }

        private void beginWithBytes(int code, int head, byte[] data) {
            begin(code, head + 2 + data.length, sidecar);
        }

        @Override
        public void sendAttempt(long request, long upstream, long timeoutNanos) {
            begin(WireCodes.SEND_ATTEMPT, 20, sidecar);
            buffer.putInt((int) request);
            upstream(upstream);
            buffer.putLong(timeoutNanos);
        }

        @Override
        public void reject(long request, long retryAfterNanos, AnswerReason reason) {
            begin(WireCodes.REJECT, 14, sidecar);
            buffer.putInt((int) request).putLong(retryAfterNanos);
        }

        @Override
        public void fail(long request, AnswerReason reason) {
            begin(WireCodes.FAIL, 6, sidecar);
            buffer.putInt((int) request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            begin(WireCodes.CANCEL_ATTEMPT, 7, sidecar);
            buffer.putInt((int) request).put((byte) attempt);
        }

        @Override
        public void setTimer(long token, long atNanos) {
            begin(WireCodes.SET_TIMER, 18, sidecar);
            buffer.putLong(token).putLong(atNanos);
        }

        @Override
        public void sendHealthCheck(long upstream) {
            begin(WireCodes.SEND_HEALTH_CHECK, 8, sidecar);
            upstream(upstream);
        }

        @Override
        public void closeIdleConnections(long upstream) {
            begin(WireCodes.CLOSE_IDLE_CONNECTIONS, 8, sidecar);
            upstream(upstream);
        }

        @Override
        public void sendGossip(int peer, byte[] message) {
            beginWithBytes(WireCodes.SEND_GOSSIP, 4, message);
            buffer.putShort((short) peer).putShort((short) message.length).put(message);
        }

        @Override
        public void log(String line) {
            byte[] data = line.getBytes(StandardCharsets.UTF_8);
            beginWithBytes(WireCodes.LOG, 2, data);
            buffer.putShort((short) data.length).put(data);
        }

        @Override
        public void subscribe(boolean on) {
            begin(WireCodes.SUBSCRIBE, 3, sidecar);
            buffer.put((byte) (on ? 1 : 0));
        }

        @Override
        public void fetchEndpoints() {
            begin(WireCodes.FETCH_ENDPOINTS, 2, sidecar);
        }
    }
}
