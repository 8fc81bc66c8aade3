package appleridge.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.PolicySettingsParser;
import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class WireTest {
    static final String OPTIONS =
            String.join(
                    "\n",
                    "caps.mayCancel=true",
                    "caps.tryLimit=3",
                    "caps.parallelTries=true",
                    "brand.newKey=what,ever",
                    "discovery=subscribe",
                    "profiles.count=1",
                    "profiles.0.deadline=1000000000",
                    "profiles.0.slo=500000000",
                    "profiles.0.semantics=once",
                    "profiles.0.worth=2.5",
                    "parties.count=1",
                    "parties.0.portion=1.0",
                    "parties.0.quotaRps=50",
                    "quantum=5000000",
                    "rank=1",
                    "replicasOfMe=3",
                    "report.fields=rif,lat_ms",
                    "rules.answerSlack=20000000",
                    "rules.coldShare=0.3",
                    "rules.overloadFactor=3.0",
                    "rules.rampTime=8000000000",
                    "rules.stopSendingWithin=250000000",
                    "rules.tipAfter=1500000000");

    /** Builds frames from the documented layout. */
    static final class Frame {
        private final ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
        private int records;
        private int start;

        Frame record(int code) {
            body.put((byte) code);
            start = body.position();
            body.putInt(0);
            records++;
            return this;
        }

        Frame end() {
            body.putInt(start, body.position() - start - 4);
            return this;
        }

        byte[] bytes(long clock) {
            ByteBuffer out =
                    ByteBuffer.allocate(16 + body.position()).order(ByteOrder.LITTLE_ENDIAN);
            out.putLong(clock).putInt(16 + body.position()).putInt(records);
            out.put(body.array(), 0, body.position());
            return out.array();
        }

        Frame provision(int sidecar, String options) {
            byte[] text = options.getBytes(StandardCharsets.UTF_8);
            record(1).body.putShort((short) sidecar).putLong(42).putInt(text.length).put(text);
            return end();
        }

        Frame list(int number, int... upstreams) {
            record(11).body.putInt(number).putInt(upstreams.length);
            for (int id : upstreams) {
                body.putInt(id)
                        .putShort((short) 80)
                        .put((byte) 0)
                        .putShort((short) 0)
                        .putShort((short) 0)
                        .put((byte) 1)
                        .putFloat(1)
                        .putLong(0);
            }
            return end();
        }

        Frame membership(int sidecar, int form, int number) {
            record(2).body.putShort((short) sidecar).put((byte) form).putLong(1).putInt(number);
            return end();
        }

        Frame submit(int sidecar, int id) {
            record(3)
                    .body
                    .putShort((short) sidecar)
                    .putInt(id)
                    .put((byte) 0)
                    .putShort((short) 0)
                    .putLong(0)
                    .putLong(1_000_000_000L)
                    .putLong(0)
                    .put((byte) 0);
            return end();
        }
    }

    static byte[] join(byte[]... frames) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            whole.writeBytes(frame);
        }
        return whole.toByteArray();
    }

    private static byte[] play(byte[]... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorAdapter.run(new ByteArrayInputStream(join(frames)), out);
        return out.toByteArray();
    }

    private static void fails(String part, byte[]... frames) {
        MalformedFrameException e = assertThrows(MalformedFrameException.class, () -> play(frames));
        assertTrue(e.getMessage().contains(part), e.getMessage());
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0}, play(new Frame().bytes(5)));
        assertEquals(0, play().length);
    }

    @Test
    void requestIsPlacedOnTheListedUpstream() throws IOException {
        byte[] reply =
                play(
                        new Frame()
                                .provision(3, OPTIONS)
                                .list(0, 0x0100_000a)
                                .membership(3, 2, 0)
                                .submit(3, 0xf0000001)
                                .bytes(1_000_000_000L));
        ByteBuffer in = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(reply.length, in.getInt(4));
        in.position(8);
        assertEquals(11, in.get(), "subscribes");
        in.position(in.position() + 4 + 3);
        assertEquals(5, in.get(), "sets a timer");
        in.position(in.position() + 4 + 18);
        assertEquals(1, in.get(), "places");
        assertEquals(20, in.getInt());
        assertEquals(3, in.getShort());
        assertEquals(0xf0000001, in.getInt());
        assertEquals(0x0100_000a, in.getInt());
        assertEquals(80, in.getShort());
    }

    @Test
    void listNumbersResolveByOrder() throws IOException {
        byte[] reply =
                play(
                        new Frame()
                                .provision(1, OPTIONS)
                                .list(0, 7)
                                .membership(1, 2, 0)
                                .list(0, 8)
                                .membership(1, 1, 0)
                                .submit(1, 9)
                                .bytes(1_000_000_000L));
        String hex = java.util.HexFormat.of().formatHex(reply);
        assertTrue(hex.contains("09000000" + "08000000" + "5000"), hex);
    }

    @Test
    void restartInOneBatchForgetsTheOldInstance() throws IOException {
        Frame frame = new Frame().provision(1, OPTIONS).list(0, 7).membership(1, 2, 0).submit(1, 9);
        frame.record(10).body.putShort((short) 1);
        frame.end().provision(1, OPTIONS).membership(1, 2, 0);
        assertTrue(play(frame.bytes(1_000_000_000L)).length > 8);
    }

    @Test
    void malformedFramesAreNamed() {
        fails("header cut short", new byte[5]);
        byte[] whole = new Frame().provision(1, OPTIONS).bytes(1);
        fails("ends after", java.util.Arrays.copyOf(whole, whole.length - 3));
        fails("unknown event code 99", new Frame().record(99).end().bytes(1));
        fails("unknown instance 5", new Frame().submit(5, 1).bytes(1));
        fails(
                "unknown list number 3",
                new Frame().provision(1, OPTIONS).membership(1, 1, 3).bytes(1));
        fails(
                "form 9 out of range",
                new Frame().provision(1, OPTIONS).list(0).membership(1, 9, 0).bytes(1));
        fails("field cut short", new Frame().provision(1, OPTIONS).record(6).end().bytes(1));
        byte[] shortLength = whole.clone();
        ByteBuffer.wrap(shortLength).order(ByteOrder.LITTLE_ENDIAN).putInt(8, 5);
        fails("length out of range", shortLength);
        byte[] longRecord = whole.clone();
        ByteBuffer.wrap(longRecord).order(ByteOrder.LITTLE_ENDIAN).putInt(17, 1_000_000);
        fails("states 1000000 bytes", longRecord);
    }

    @Test
    void settingsAreReadAndMissingOrMalformedOnesNamed() {
        PolicySettings settings = PolicySettingsParser.parse(OPTIONS);
        assertEquals(Idempotency.NON_IDEMPOTENT, settings.classes().get(0).idempotency());
        assertEquals(2.5, settings.classes().get(0).priorityWeight());
        assertEquals(2, settings.loadReportFields().size());
        assertEquals(50, settings.tenants().get(0).quotaPerSecond());
        fails(
                "frame 0: rules.rampTime is missing; allowed: a number",
                new Frame().provision(1, OPTIONS.replace("rules.rampTime", "x")).bytes(1));
        fails(
                "rank is \"NaN\"; allowed: a number",
                new Frame().provision(1, OPTIONS.replace("rank=1", "rank=NaN")).bytes(1));
        fails(
                "profiles.0.slo is \"five00000000\"; allowed: a number",
                new Frame().provision(1, OPTIONS.replace("slo=5", "slo=five")).bytes(1));
        fails(
                "rules.coldShare is \"7\"; allowed: a number above 0 and at most 1",
                new Frame().provision(1, OPTIONS.replace("coldShare=0.3", "coldShare=7")).bytes(1));
    }

    @Test
    void everyActionHasItsLayout() throws IOException {
        ReplyFrame replies = new ReplyFrame();
        PolicyActions sink = replies.sink(2);
        sink.reject(1, 5, AnswerReason.LOAD_SHEDDING);
        sink.fail(1, AnswerReason.DEADLINE_PASSED);
        sink.cancelAttempt(1, 3);
        sink.sendHealthCheck(0x0000_0001_0050L);
        sink.closeIdleConnections(1);
        sink.sendGossip(PolicyActions.ALL_PEERS, new byte[] {9});
        sink.log("hi");
        sink.fetchEndpoints();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        replies.writeTo(out);
        ByteBuffer in = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(8, in.getInt());
        assertEquals(out.size(), in.getInt());
        int[] codes = {2, 3, 4, 6, 7, 8, 9, 12};
        int[] lengths = {14, 6, 7, 8, 8, 7, 6, 2};
        for (int i = 0; i < codes.length; i++) {
            assertEquals(codes[i], in.get());
            assertEquals(lengths[i], in.getInt());
            assertEquals(2, in.getShort());
            in.position(in.position() + lengths[i] - 2);
        }
        assertEquals(0, in.remaining());
    }
}
