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

/** Long random legal event sequences, judged by an observer with books of its own. */
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

    private static final class Book {
        final RequestClass kind;
        final long deadline;
        final List<SidecarHarness.Sent> sent = new ArrayList<>();
        final Map<Integer, Outcome> ended = new HashMap<>();
        int answers;

        Book(RequestClass kind, long deadline) {
            this.kind = kind;
            this.deadline = deadline;
        }

        boolean mayHaveRun(int attempt) {
            Outcome outcome = ended.get(attempt);
            return outcome == null || !outcome.provesNotExecuted();
        }
    }

    private final Map<Long, Book> books = new HashMap<>();
    private final Map<Long, HostState> states = new HashMap<>();
    private final Set<Integer> judgedSends = new HashSet<>();
    private int readLog;
    private SidecarHarness sidecar;

    /** Reads the actions since the last event and checks each against the rules. */
    private void judge() {
        int sendsSeen = judgedSends.size();
        for (; readLog < sidecar.log.size(); readLog++) {
            String[] action = sidecar.log.get(readLog).split(" ");
            switch (action[0]) {
                case "send" -> {
                    SidecarHarness.Sent sent = sidecar.sends.get(sendsSeen);
                    judgedSends.add(sendsSeen++);
                    judgeSend(sent);
                }
                case "refuse", "fail" -> judgeAnswer(action[0], Long.parseLong(action[1]));
                default -> {}
            }
        }
    }

    private void judgeSend(SidecarHarness.Sent sent) {
        Book book = books.get(sent.request());
        assertEquals(0, book.answers, "sent after its end: " + sent);
        assertEquals(HostState.READY, states.get(sent.upstream()), "drain: " + sent);
        assertTrue(book.sent.size() < 3, "try limit: " + sent);
        SidecarHarness.Sent doubt = null;
        for (SidecarHarness.Sent earlier : book.sent) {
            if (doubt == null && book.mayHaveRun(earlier.attempt())) {
                doubt = earlier;
            }
        }
        if (doubt != null) {
            assertTrue(
                    book.kind.idempotency() != Idempotency.NON_IDEMPOTENT,
                    "once sent twice: " + sent);
            if (book.kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                assertTrue(
                        sent.at() < doubt.at() + book.kind.idempotencyKeyTtlNanos(),
                        "key forgotten: " + sent);
                long a = doubt.upstream();
                long b = sent.upstream();
                switch (book.kind.deduplicationScope()) {
                    case ZONE -> assertEquals(a % 2, b % 2, "zone: " + sent);
                    case CELL -> assertEquals(a / 3, b / 3, "cell: " + sent);
                    default -> {}
                }
            }
        }
        book.sent.add(sent);
    }

    private void judgeAnswer(String answer, long id) {
        Book book = books.get(id);
        assertEquals(1, ++book.answers, "answered twice: " + id);
        assertTrue(sidecar.now <= book.deadline + SLACK, "late answer: " + id);
        boolean doubt = book.sent.stream().anyMatch(s -> book.mayHaveRun(s.attempt()));
        boolean harmless =
                !doubt
                        || book.kind.idempotency() == Idempotency.IDEMPOTENT
                        || book.kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                && book.kind.deduplicationScope() == DeduplicationScope.ALL;
        assertTrue(answer.equals("fail") || harmless, "refused though it may have run: " + id);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHold(long seed) {
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
                books.put(nextId, new Book(CLASSES.get(kind), sidecar.now + left));
                sidecar.request(nextId++, kind, left);
            } else if (what < 70 && !out.isEmpty()) {
                end(out.remove(random.nextInt(out.size())), random);
            } else if (what < 72) {
                change(random, upstreams);
            } else if (what < 73 && nextId > 0) {
                long id = nextId - 1 - random.nextInt((int) Math.min(nextId, 20));
                if (books.get(id).answers == 0) {
                    books.get(id).answers++;
                    sidecar.policy.onClientDisconnected(sidecar.now, id);
                }
            } else {
                tick(random.nextInt(8));
            }
            judge();
            while (collected < sidecar.sends.size()) {
                out.add(sidecar.sends.get(collected++));
            }
            for (int i = out.size() - 1; i >= 0; i--) {
                if (sidecar.now >= books.get(out.get(i).request()).deadline) {
                    SidecarHarness.Sent sent = out.remove(i);
                    finish(sent, Outcome.TIMEOUT);
                }
            }
            judge();
        }
        tick(3_000);
        judge();
        books.forEach((id, book) -> assertEquals(1, book.answers, "answers of " + id));
        assertTrue(nextId > 2_000, "the sequence was long");
    }

    /** A quantum at a time, as a host with a batch clock does. */
    private void tick(int millis) {
        for (int passed = 0; passed < millis; passed += 5) {
            sidecar.advance(5 * MS);
            judge();
        }
    }

    private void end(SidecarHarness.Sent sent, Random random) {
        int draw = random.nextInt(10);
        finish(
                sent,
                draw < 6 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)]);
    }

    private void finish(SidecarHarness.Sent sent, Outcome outcome) {
        Book book = books.get(sent.request());
        boolean already = book.answers > 0;
        book.ended.put(sent.attempt(), outcome);
        if (outcome == Outcome.OK && !already) {
            book.answers++;
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
        judge();
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
        judge();
    }
}
