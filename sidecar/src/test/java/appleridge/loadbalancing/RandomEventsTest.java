package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Long random sequences of legal events; every action is checked against an independent record of
 * each request.
 */
class RandomEventsTest {
    private static final long DEADLINE = 1_000 * MS;
    private static final long SLACK = 20 * MS;
    private static final List<RequestClass> CLASSES =
            List.of(
                    SidecarHarness.IDEMPOTENT,
                    SidecarHarness.NON_IDEMPOTENT,
                    SidecarHarness.KEYED_BY_CELL,
                    SidecarHarness.KEYED,
                    SidecarHarness.requestClass(
                            Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.ZONE));

    private static final class RequestRecord {
        final RequestClass requestClass;
        final long deadline;
        final List<SidecarHarness.SentAttempt> sent = new ArrayList<>();
        final Map<Integer, Outcome> outcomes = new HashMap<>();
        int answers;

        RequestRecord(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        boolean mayHaveExecuted(int attempt) {
            Outcome outcome = outcomes.get(attempt);
            return outcome == null || !outcome.provesNotExecuted();
        }
    }

    private final Map<Long, RequestRecord> records = new HashMap<>();
    private final Map<Long, HostState> states = new HashMap<>();
    private final Set<Integer> checkedSends = new HashSet<>();
    private int checkedActions;
    private SidecarHarness sidecar;

    /** Checks each action since the last call against the rules. */
    private void checkActions() {
        int sendsSeen = checkedSends.size();
        for (; checkedActions < sidecar.log.size(); checkedActions++) {
            String[] action = sidecar.log.get(checkedActions).split(" ");
            switch (action[0]) {
                case "send" -> {
                    SidecarHarness.SentAttempt sent = sidecar.sends.get(sendsSeen);
                    checkedSends.add(sendsSeen++);
                    checkSend(sent);
                }
                case "reject", "fail" -> checkAnswer(action[0], Long.parseLong(action[1]));
                default -> {}
            }
        }
    }

    private void checkSend(SidecarHarness.SentAttempt sent) {
        RequestRecord record = records.get(sent.request());
        assertEquals(0, record.answers, "sent after the request was answered: " + sent);
        assertEquals(
                HostState.READY,
                states.get(sent.upstream()),
                "sent to a host that is not ready: " + sent);
        assertTrue(record.sent.size() < 3, "too many attempts: " + sent);
        SidecarHarness.SentAttempt first = null;
        for (SidecarHarness.SentAttempt earlier : record.sent) {
            if (first == null && record.mayHaveExecuted(earlier.attempt())) {
                first = earlier;
            }
        }
        if (first != null) {
            assertTrue(
                    record.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                    "non-idempotent request sent twice: " + sent);
            if (record.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                assertTrue(
                        sent.at() < first.at() + record.requestClass.idempotencyKeyTtlNanos(),
                        "sent after the key expired: " + sent);
                long a = first.upstream();
                long b = sent.upstream();
                switch (record.requestClass.deduplicationScope()) {
                    case ZONE -> assertEquals(a % 2, b % 2, "sent outside of the zone: " + sent);
                    case CELL -> assertEquals(a / 3, b / 3, "sent outside of the cell: " + sent);
                    default -> {}
                }
            }
        }
        record.sent.add(sent);
    }

    private void checkAnswer(String answer, long id) {
        RequestRecord record = records.get(id);
        assertEquals(1, ++record.answers, "answered twice: " + id);
        assertTrue(sidecar.now <= record.deadline + SLACK, "answered after the deadline: " + id);
        boolean mayHaveExecuted =
                record.sent.stream().anyMatch(s -> record.mayHaveExecuted(s.attempt()));
        boolean clientRetrySafe =
                !mayHaveExecuted
                        || record.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || record.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                && record.requestClass.deduplicationScope()
                                        == DeduplicationScope.ALL;
        assertTrue(
                answer.equals("fail") || clientRetrySafe,
                "rejected though it may have executed: " + id);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void safetyRulesHold(long seed) {
        Random random = new Random(seed);
        sidecar =
                new SidecarHarness(
                        SidecarHarness.settings(CLASSES.toArray(new RequestClass[0])), seed);
        int upstreams = 1 + random.nextInt(12);
        List<UpstreamHost> first = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            first.add(SidecarHarness.upstreamHost(i));
            states.put((long) i, HostState.READY);
        }
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.CACHED_SNAPSHOT, first);
        List<SidecarHarness.SentAttempt> outstanding = new ArrayList<>();
        int collected = 0;
        long nextId = 0;
        for (int step = 0; step < 6_000; step++) {
            int event = random.nextInt(100);
            if (event < 40) {
                long remaining = random.nextInt(10) == 0 ? random.nextInt(30) * MS : DEADLINE;
                int classIndex = random.nextInt(CLASSES.size());
                records.put(
                        nextId,
                        new RequestRecord(CLASSES.get(classIndex), sidecar.now + remaining));
                sidecar.request(nextId++, classIndex, remaining);
            } else if (event < 70 && !outstanding.isEmpty()) {
                end(outstanding.remove(random.nextInt(outstanding.size())), random);
            } else if (event < 72) {
                changeHostState(random, upstreams);
            } else if (event < 73 && nextId > 0) {
                long id = nextId - 1 - random.nextInt((int) Math.min(nextId, 20));
                if (records.get(id).answers == 0) {
                    records.get(id).answers++;
                    sidecar.policy.onClientDisconnected(sidecar.now, id);
                }
            } else {
                advanceByGranules(random.nextInt(8));
            }
            checkActions();
            while (collected < sidecar.sends.size()) {
                outstanding.add(sidecar.sends.get(collected++));
            }
            for (int i = outstanding.size() - 1; i >= 0; i--) {
                if (sidecar.now >= records.get(outstanding.get(i).request()).deadline) {
                    SidecarHarness.SentAttempt sent = outstanding.remove(i);
                    finish(sent, Outcome.TIMEOUT);
                }
            }
            checkActions();
        }
        advanceByGranules(3_000);
        checkActions();
        records.forEach((id, record) -> assertEquals(1, record.answers, "answers of " + id));
        assertTrue(nextId > 2_000, "too few requests in the sequence: " + nextId);
    }

    /** Advances by one clock granule at a time, as an embedder with a batch clock does. */
    private void advanceByGranules(int millis) {
        for (int passed = 0; passed < millis; passed += 5) {
            sidecar.advance(5 * MS);
            checkActions();
        }
    }

    private void end(SidecarHarness.SentAttempt sent, Random random) {
        int draw = random.nextInt(10);
        finish(
                sent,
                draw < 6 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)]);
    }

    private void finish(SidecarHarness.SentAttempt sent, Outcome outcome) {
        RequestRecord record = records.get(sent.request());
        boolean alreadyAnswered = record.answers > 0;
        record.outcomes.put(sent.attempt(), outcome);
        if (outcome == Outcome.OK && !alreadyAnswered) {
            record.answers++;
        }
        sidecar.policy.onAttemptEnded(
                sidecar.now,
                sent.request(),
                sent.attempt(),
                sent.upstream(),
                outcome,
                sidecar.now - sent.at(),
                alreadyAnswered || outcome == Outcome.OK,
                new float[0]);
        checkActions();
    }

    private void changeHostState(Random random, int upstreams) {
        long id = random.nextInt(upstreams);
        HostState state = HostState.values()[random.nextInt(3)];
        long startedAt =
                state == HostState.READY && states.get(id) == HostState.GONE
                        ? sidecar.now - 100 * MS
                        : 0;
        states.put(id, state);
        sidecar.policy.onEndpointUpdate(
                sidecar.now,
                UpdateKind.DELTA,
                List.of(SidecarHarness.upstreamHost(id, state, startedAt)));
        checkActions();
    }
}
