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
 * Collects the actions of one batch into a reply frame: number of records (4 bytes), length of the
 * frame (4 bytes), records. Nothing of a frame is written before it is complete. Not thread-safe.
 */
final class ReplyFrame {
    static final float[] NO_REPORT = {};
    private static final int HEADER_BYTES = 8;
    private static final int LENGTH_OFFSET = 4;
    private static final int INITIAL_BYTES = 1 << 16;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;

    ReplyFrame() {
        clear();
    }

    /** Returns the actions of one sidecar's policy; each call appends a record to the frame. */
    PolicyActions actionsOf(int sidecar) {
        return new RecordedActions(sidecar);
    }

    /** Discards the collected records. */
    void clear() {
        buffer.position(HEADER_BYTES);
        recordCount = 0;
    }

    /** Writes the frame, flushes the stream and begins the next frame. */
    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, recordCount);
        buffer.putInt(LENGTH_OFFSET, buffer.position());
        out.write(bytes, 0, buffer.position());
        out.flush();
        clear();
    }

    /**
     * Begins a record and writes its header and the sidecar's number.
     *
     * @param bodyBytes the length of the record's body, with the sidecar's number
     */
    private void beginRecord(int code, int bodyBytes, int sidecar) {
        if (buffer.remaining() < bodyBytes + WireCodes.RECORD_HEADER_BYTES) {
            int position = buffer.position();
            bytes =
                    Arrays.copyOf(
                            bytes,
                            Math.max(
                                    bytes.length * 2,
                                    position + bodyBytes + WireCodes.RECORD_HEADER_BYTES));
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).position(position);
        }
        buffer.put((byte) code).putInt(bodyBytes).putShort((short) sidecar);
        recordCount++;
    }

    private final class RecordedActions implements PolicyActions {
        private final int sidecar;

        RecordedActions(int sidecar) {
            this.sidecar = sidecar;
        }

        private void putUpstream(long id) {
            buffer.putInt((int) (id >>> 16)).putShort((short) id);
        }

        /** Begins a record that ends with a byte array and its length (2 bytes). */
        private void beginWithBytes(int code, int fixedBytes, byte[] data) {
            beginRecord(code, fixedBytes + 2 + data.length, sidecar);
        }

        @Override
        public void sendAttempt(long request, long upstream, long timeoutNanos) {
            beginRecord(WireCodes.SEND_ATTEMPT, 20, sidecar);
            buffer.putInt((int) request);
            putUpstream(upstream);
            buffer.putLong(timeoutNanos);
        }

        @Override
        public void reject(long request, long retryAfterNanos, AnswerReason reason) {
            beginRecord(WireCodes.REJECT, 14, sidecar);
            buffer.putInt((int) request).putLong(retryAfterNanos);
        }

        @Override
        public void fail(long request, AnswerReason reason) {
            beginRecord(WireCodes.FAIL, 6, sidecar);
            buffer.putInt((int) request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            beginRecord(WireCodes.CANCEL_ATTEMPT, 7, sidecar);
            buffer.putInt((int) request).put((byte) attempt);
        }

        @Override
        public void setTimer(long token, long atNanos) {
            beginRecord(WireCodes.SET_TIMER, 18, sidecar);
            buffer.putLong(token).putLong(atNanos);
        }

        @Override
        public void sendHealthCheck(long upstream) {
            beginRecord(WireCodes.SEND_HEALTH_CHECK, 8, sidecar);
            putUpstream(upstream);
        }

        @Override
        public void closeIdleConnections(long upstream) {
            beginRecord(WireCodes.CLOSE_IDLE_CONNECTIONS, 8, sidecar);
            putUpstream(upstream);
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
            beginRecord(WireCodes.SUBSCRIBE, 3, sidecar);
            buffer.put((byte) (on ? 1 : 0));
        }

        @Override
        public void fetchEndpoints() {
            beginRecord(WireCodes.FETCH_ENDPOINTS, 2, sidecar);
        }
    }
}
