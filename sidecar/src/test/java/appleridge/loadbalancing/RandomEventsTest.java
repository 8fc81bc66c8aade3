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

/** Long random legal event sequences, checked by an observer that keeps its own account. */
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

    private static final class Account {
        final RequestClass kind;
        final long deadline;
        final List<SidecarHarness.Sent> sent = new ArrayList<>();
        final Map<Integer, Outcome> ended = new HashMap<>();
        int answers;

        Account(RequestClass kind, long deadline) {
            this.kind = kind;
            this.deadline = deadline;
        }

        boolean mayHaveExecuted(int attempt) {
            Outcome outcome = ended.get(attempt);
            return outcome == null || !outcome.provesNotExecuted();
        }
    }

    private final Map<Long, Account> accounts = new HashMap<>();
    private final Map<Long, HostState> states = new HashMap<>();
    private final Set<Integer> checkedSends = new HashSet<>();
    private int readLog;
    private SidecarHarness sidecar;

    /** Reads the actions since the last event and checks each against the rules. */
    private void checkActions() {
        int sendsSeen = checkedSends.size();
        for (; readLog < sidecar.log.size(); readLog++) {
            String[] action = sidecar.log.get(readLog).split(" ");
            switch (action[0]) {
                case "send" -> {
                    SidecarHarness.Sent sent = sidecar.sends.get(sendsSeen);
                    checkedSends.add(sendsSeen++);
                    checkSend(sent);
                }
                case "refuse", "fail" -> checkAnswer(action[0], Long.parseLong(action[1]));
                default -> {}
            }
        }
    }

    private void checkSend(SidecarHarness.Sent sent) {
        Account account = accounts.get(sent.request());
        assertEquals(0, account.answers, "sent after its end: " + sent);
        assertEquals(HostState.READY, states.get(sent.upstream()), "drain: " + sent);
        assertTrue(account.sent.size() < 3, "too many attempts: " + sent);
        SidecarHarness.Sent first = null;
        for (SidecarHarness.Sent earlier : account.sent) {
            if (first == null && account.mayHaveExecuted(earlier.attempt())) {
                first = earlier;
            }
        }
        if (first != null) {
            assertTrue(
                    account.kind.idempotency() != Idempotency.NON_IDEMPOTENT,
                    "non-idempotent request sent twice: " + sent);
            if (account.kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                assertTrue(
                        sent.at() < first.at() + account.kind.idempotencyKeyTtlNanos(),
                        "key expired: " + sent);
                long a = first.upstream();
                long b = sent.upstream();
                switch (account.kind.deduplicationScope()) {
                    case ZONE -> assertEquals(a % 2, b % 2, "zone: " + sent);
                    case CELL -> assertEquals(a / 3, b / 3, "cell: " + sent);
                    default -> {}
                }
            }
        }
        account.sent.add(sent);
    }

    private void checkAnswer(String answer, long id) {
        Account account = accounts.get(id);
        assertEquals(1, ++account.answers, "answered twice: " + id);
        assertTrue(sidecar.now <= account.deadline + SLACK, "late answer: " + id);
        boolean mayHaveExecuted =
                account.sent.stream().anyMatch(s -> account.mayHaveExecuted(s.attempt()));
        boolean harmless =
                !mayHaveExecuted
                        || account.kind.idempotency() == Idempotency.IDEMPOTENT
                        || account.kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                && account.kind.deduplicationScope() == DeduplicationScope.ALL;
        assertTrue(
                answer.equals("fail") || harmless, "rejected though it may have executed: " + id);
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
        List<SidecarHarness.Sent> out = new ArrayList<>();
        int collected = 0;
        long nextId = 0;
        for (int step = 0; step < 6_000; step++) {
            int what = random.nextInt(100);
            if (what < 40) {
                long left = random.nextInt(10) == 0 ? random.nextInt(30) * MS : DEADLINE;
                int kind = random.nextInt(CLASSES.size());
                accounts.put(nextId, new Account(CLASSES.get(kind), sidecar.now + left));
                sidecar.request(nextId++, kind, left);
            } else if (what < 70 && !out.isEmpty()) {
                end(out.remove(random.nextInt(out.size())), random);
            } else if (what < 72) {
                change(random, upstreams);
            } else if (what < 73 && nextId > 0) {
                long id = nextId - 1 - random.nextInt((int) Math.min(nextId, 20));
                if (accounts.get(id).answers == 0) {
                    accounts.get(id).answers++;
                    sidecar.policy.onClientDisconnected(sidecar.now, id);
                }
            } else {
                tick(random.nextInt(8));
            }
            checkActions();
            while (collected < sidecar.sends.size()) {
                out.add(sidecar.sends.get(collected++));
            }
            for (int i = out.size() - 1; i >= 0; i--) {
                if (sidecar.now >= accounts.get(out.get(i).request()).deadline) {
                    SidecarHarness.Sent sent = out.remove(i);
                    finish(sent, Outcome.TIMEOUT);
                }
            }
            checkActions();
        }
        tick(3_000);
        checkActions();
        accounts.forEach((id, account) -> assertEquals(1, account.answers, "answers of " + id));
        assertTrue(nextId > 2_000, "the sequence was long");
    }

    /** One clock granule at a time, as a host with a batch clock does. */
    private void tick(int millis) {
        for (int passed = 0; passed < millis; passed += 5) {
            sidecar.advance(5 * MS);
            checkActions();
        }
    }

    private void end(SidecarHarness.Sent sent, Random random) {
        int draw = random.nextInt(10);
        finish(
                sent,
                draw < 6 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)]);
    }

    private void finish(SidecarHarness.Sent sent, Outcome outcome) {
        Account account = accounts.get(sent.request());
        boolean already = account.answers > 0;
        account.ended.put(sent.attempt(), outcome);
        if (outcome == Outcome.OK && !already) {
            account.answers++;
        }
        sidecar.policy.onAttemptEnded(
                sidecar.now,
                sent.request(),
                sent.attempt(),
                sent.upstream(),
                outcome,
                sidecar.now - sent.at(),
                already || outcome == Outcome.OK,
                new float[0]);
        checkActions();
    }

    private void change(Random random, int upstreams) {
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
