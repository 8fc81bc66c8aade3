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

/**
 * The simulator's wire protocol: layout of the frames, and errors that name the malformed field.
 */
class SimulatorAdapterTest {
    static final String SETTINGS =
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

    /** Builds event frames byte by byte, independently of {@link WireCodes}. */
    static final class EventFrame {
        private final ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
        private int records;
        private int lengthOffset;

        EventFrame record(int code) {
            body.put((byte) code);
            lengthOffset = body.position();
            body.putInt(0);
            records++;
            return this;
        }

        EventFrame end() {
            body.putInt(lengthOffset, body.position() - lengthOffset - 4);
            return this;
        }

        byte[] bytes(long clock) {
            ByteBuffer out =
                    ByteBuffer.allocate(16 + body.position()).order(ByteOrder.LITTLE_ENDIAN);
            out.putLong(clock).putInt(16 + body.position()).putInt(records);
            out.put(body.array(), 0, body.position());
            return out.array();
        }

        EventFrame provision(int sidecar, String settings) {
            byte[] text = settings.getBytes(StandardCharsets.UTF_8);
            record(1).body.putShort((short) sidecar).putLong(42).putInt(text.length).put(text);
            return end();
        }

        EventFrame list(int number, int... upstreams) {
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

        EventFrame endpointUpdate(int sidecar, int form, int number) {
            record(2).body.putShort((short) sidecar).put((byte) form).putLong(1).putInt(number);
            return end();
        }

        EventFrame request(int sidecar, int id) {
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

    private static byte[] run(byte[]... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorAdapter.run(new ByteArrayInputStream(join(frames)), out);
        return out.toByteArray();
    }

    private static void assertRejected(String message, byte[]... frames) {
        MalformedFrameException e = assertThrows(MalformedFrameException.class, () -> run(frames));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0}, run(new EventFrame().bytes(5)));
        assertEquals(0, run().length);
    }

    @Test
    void requestIsSentToTheUpstreamOfTheList() throws IOException {
        byte[] reply =
                run(
                        new EventFrame()
                                .provision(3, SETTINGS)
                                .list(0, 0x0100_000a)
                                .endpointUpdate(3, 2, 0)
                                .request(3, 0xf0000001)
                                .bytes(1_000_000_000L));
        ByteBuffer in = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(reply.length, in.getInt(4));
        in.position(8);
        assertEquals(11, in.get(), "subscribes");
        in.position(in.position() + 4 + 3);
        assertEquals(5, in.get(), "sets a timer");
        in.position(in.position() + 4 + 18);
        assertEquals(1, in.get(), "sends an attempt");
        assertEquals(20, in.getInt());
        assertEquals(3, in.getShort());
        assertEquals(0xf0000001, in.getInt());
        assertEquals(0x0100_000a, in.getInt());
        assertEquals(80, in.getShort());
    }

    @Test
    void updateUsesTheLatestListWithItsNumber() throws IOException {
        byte[] reply =
                run(
                        new EventFrame()
                                .provision(1, SETTINGS)
                                .list(0, 7)
                                .endpointUpdate(1, 2, 0)
                                .list(0, 8)
                                .endpointUpdate(1, 1, 0)
                                .request(1, 9)
                                .bytes(1_000_000_000L));
        String hex = java.util.HexFormat.of().formatHex(reply);
        assertTrue(hex.contains("09000000" + "08000000" + "5000"), hex);
    }

    @Test
    void removedSidecarCanBeProvisionedAgainInTheSameBatch() throws IOException {
        EventFrame frame =
                new EventFrame()
                        .provision(1, SETTINGS)
                        .list(0, 7)
                        .endpointUpdate(1, 2, 0)
                        .request(1, 9);
        frame.record(10).body.putShort((short) 1);
        frame.end().provision(1, SETTINGS).endpointUpdate(1, 2, 0);
        assertTrue(run(frame.bytes(1_000_000_000L)).length > 8);
    }

    @Test
    void malformedFrameIsRejectedWithItsReason() {
        assertRejected("header cut short", new byte[5]);
        byte[] whole = new EventFrame().provision(1, SETTINGS).bytes(1);
        assertRejected("ends after", java.util.Arrays.copyOf(whole, whole.length - 3));
        assertRejected("unknown event code 99", new EventFrame().record(99).end().bytes(1));
        assertRejected("unknown instance 5", new EventFrame().request(5, 1).bytes(1));
        assertRejected(
                "unknown list number 3",
                new EventFrame().provision(1, SETTINGS).endpointUpdate(1, 1, 3).bytes(1));
        assertRejected(
                "form 9 out of range",
                new EventFrame().provision(1, SETTINGS).list(0).endpointUpdate(1, 9, 0).bytes(1));
        assertRejected(
                "field cut short",
                new EventFrame().provision(1, SETTINGS).record(6).end().bytes(1));
        byte[] shortLength = whole.clone();
        ByteBuffer.wrap(shortLength).order(ByteOrder.LITTLE_ENDIAN).putInt(8, 5);
        assertRejected("length out of range", shortLength);
        byte[] longRecord = whole.clone();
        ByteBuffer.wrap(longRecord).order(ByteOrder.LITTLE_ENDIAN).putInt(17, 1_000_000);
        assertRejected("states 1000000 bytes", longRecord);
    }

    @Test
    void missingOrMalformedSettingIsNamed() {
        PolicySettings settings = PolicySettingsParser.parse(SETTINGS);
        assertEquals(Idempotency.NON_IDEMPOTENT, settings.classes().get(0).idempotency());
        assertEquals(2.5, settings.classes().get(0).priorityWeight());
        assertEquals(2, settings.loadReportFields().size());
        assertEquals(50, settings.tenants().get(0).quotaPerSecond());
        assertRejected(
                "frame 0: rules.rampTime is missing; allowed: a number",
                new EventFrame().provision(1, SETTINGS.replace("rules.rampTime", "x")).bytes(1));
        assertRejected(
                "rank is \"NaN\"; allowed: a number",
                new EventFrame().provision(1, SETTINGS.replace("rank=1", "rank=NaN")).bytes(1));
        assertRejected(
                "profiles.0.slo is \"five00000000\"; allowed: a number",
                new EventFrame().provision(1, SETTINGS.replace("slo=5", "slo=five")).bytes(1));
        assertRejected(
                "rules.coldShare is \"7\"; allowed: a number above 0 and at most 1",
                new EventFrame()
                        .provision(1, SETTINGS.replace("coldShare=0.3", "coldShare=7"))
                        .bytes(1));
    }

    @Test
    void everyActionIsWrittenInItsLayout() throws IOException {
        ReplyFrame replies = new ReplyFrame();
        PolicyActions actions = replies.actionsOf(2);
        actions.reject(1, 5, AnswerReason.LOAD_SHEDDING);
        actions.fail(1, AnswerReason.DEADLINE_PASSED);
        actions.cancelAttempt(1, 3);
        actions.sendHealthCheck(0x0000_0001_0050L);
        actions.closeIdleConnections(1);
        actions.sendGossip(PolicyActions.ALL_PEERS, new byte[] {9});
        actions.log("hi");
        actions.fetchEndpoints();
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
