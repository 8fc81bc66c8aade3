package appleridge.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.discovery.Directory;
import appleridge.discovery.Directory.News;
import appleridge.discovery.Member;
import appleridge.loadbalancing.Balancer.ListKind;
import appleridge.loadbalancing.Balancer.State;
import appleridge.loadbalancing.Balancer.Upstream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The operator's word over anything that the list may say. */
class MaintenanceTest {
    private static final long RAMP = TimeUnit.SECONDS.toNanos(7);
    private static final long T0 = TimeUnit.SECONDS.toNanos(1_000_000);

    private final Directory directory = new Directory(TimeUnit.MILLISECONDS::toNanos);
    private final Maintenance maintenance = new Maintenance(RAMP);
    private long now = T0;

    private static Member member(String id, int port, State state, long started) {
        return new Member(id, new InetSocketAddress("127.0.0.1", port), 0, 0, 0, state, 1, started);
    }

    private News told(ListKind kind, Member... members) {
        return maintenance.over(directory.news(kind, List.of(members)), now);
    }

    private static News news(Maintenance.Effect effect) {
        return assertInstanceOf(Maintenance.Done.class, effect).news();
    }

    private static Upstream only(News news) {
        assertEquals(1, news.entries().size());
        return news.entries().get(0);
    }

    @Test
    void whoIsOutDrainsFromTheYesOnAndIsColdWhenCalledBack() {
        told(ListKind.FULL, member("a", 1, State.READY, 0), member("b", 2, State.READY, 0));
        assertEquals(State.DRAINING, only(news(maintenance.suspend("a", now))).state());
        assertNull(news(maintenance.suspend("a", now)), "nothing changes by a second call");
        now += RAMP;
        Upstream back = only(news(maintenance.restore("a", now)));
        assertEquals(State.READY, back.state());
        assertEquals(now, back.startedAt());
    }

    /** Guards against a word that is forgotten when the list forgets whom it was about. */
    @Test
    void itHoldsOverAnythingThatDiscoverySays() {
        told(ListKind.FULL, member("a", 1, State.READY, 0));
        maintenance.suspend("a", now);
        assertEquals(
                State.DRAINING, only(told(ListKind.FULL, member("a", 1, State.READY, 0))).state());
        told(ListKind.DELTA, member("a", 1, State.GONE, 0));
        assertNull(news(maintenance.suspend("a", now)), "known, though not listed");
        News again = told(ListKind.DELTA, member("a", 9, State.READY, 1_000_000_500));
        assertEquals(State.DRAINING, only(again).state());
        told(ListKind.FULL);
        assertEquals(
                State.DRAINING,
                only(told(ListKind.CACHED, member("a", 3, State.READY, 0))).state());
        News back = news(maintenance.restore("a", now));
        assertEquals(
                3, back.addresses().get(only(back).id()).getPort(), "where the list has it now");
    }

    /**
     * Guards against a machine that was made anew while it was out being taken for warm, or for
     * cold.
     */
    @Test
    void aStartWithinTheTimeOutIsBelievedAndNoOther() {
        told(ListKind.FULL, member("a", 1, State.READY, 999_000_000));
        maintenance.suspend("a", now);
        now += 3 * RAMP;
        long started = TimeUnit.NANOSECONDS.toMillis(now - 2 * RAMP);
        told(ListKind.DELTA, member("a", 1, State.READY, started));
        assertEquals(
                TimeUnit.MILLISECONDS.toNanos(started),
                only(news(maintenance.restore("a", now))).startedAt());
        maintenance.suspend("a", now);
        now += 3 * RAMP;
        long restored = now;
        assertEquals(restored, only(news(maintenance.restore("a", now))).startedAt());
        now += RAMP / 2;
        assertEquals(
                restored,
                only(told(ListKind.FULL, member("a", 1, State.READY, started))).startedAt(),
                "a start that moved back and forth would look like another one");
        News flapped = told(ListKind.DELTA, member("a", 1, State.GONE, 0));
        assertEquals(State.GONE, only(flapped).state());
        assertEquals(
                restored,
                only(told(ListKind.DELTA, member("a", 1, State.READY, started))).startedAt(),
                "gone and back does not make it warm");
    }

    @Test
    void whoDrainsOrIsGoneByTheListStaysSoWhenCalledBack() {
        told(ListKind.FULL, member("a", 1, State.READY, 0), member("b", 2, State.READY, 0));
        maintenance.suspend("a", now);
        maintenance.suspend("b", now);
        told(ListKind.DELTA, member("a", 1, State.DRAINING, 0), member("b", 2, State.GONE, 0));
        assertEquals(State.DRAINING, only(news(maintenance.restore("a", now))).state());
        assertNull(news(maintenance.restore("b", now)), "nobody is there to be told of");
        assertInstanceOf(
                Maintenance.Denied.class, maintenance.restore("b", now), "and now nobody holds it");
    }

    @Test
    void idsThatNobodyHoldsAreDeniedAndWordsAreBounded() {
        assertInstanceOf(Maintenance.Denied.class, maintenance.suspend("a", now));
        assertInstanceOf(Maintenance.Denied.class, maintenance.restore("a", now));
        Member[] many = new Member[Maintenance.MOST + 1];
        for (int i = 0; i < many.length; i++) {
            many[i] = member("u" + i, i + 1, State.READY, 0);
        }
        told(ListKind.FULL, many);
        for (int i = 0; i < Maintenance.MOST; i++) {
            news(maintenance.suspend("u" + i, now));
        }
        assertInstanceOf(
                Maintenance.Denied.class, maintenance.suspend("u" + Maintenance.MOST, now));
        news(maintenance.restore("u0", now));
        news(maintenance.suspend("u" + Maintenance.MOST, now));
    }

    /**
     * Against a plain model: ready to the module is who the list has ready and nobody has called
     * out.
     */
    @Test
    void afterAnyEventsTheModuleSeesWhatAModelSees() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            Set<String> ready = new HashSet<>();
            Set<String> listed = new HashSet<>();
            Set<String> out = new HashSet<>();
            Set<Long> module = new HashSet<>();
            Directory itsDirectory = new Directory(TimeUnit.MILLISECONDS::toNanos);
            Maintenance its = new Maintenance(RAMP);
            for (int i = 0; i < 120; i++) {
                String id = "u" + random.nextInt(6);
                News news = null;
                if (random.nextInt(4) == 0) {
                    boolean suspends = random.nextBoolean();
                    Maintenance.Effect effect =
                            suspends ? its.suspend(id, T0 + i) : its.restore(id, T0 + i);
                    boolean held = listed.contains(id) || out.contains(id);
                    assertEquals(held, effect instanceof Maintenance.Done, "seed " + seed);
                    if (held && suspends) {
                        out.add(id);
                    } else {
                        out.remove(id);
                    }
                    news = effect instanceof Maintenance.Done done ? done.news() : null;
                } else {
                    boolean whole = random.nextInt(4) == 0;
                    List<Member> members = new ArrayList<>();
                    if (whole) {
                        ready.clear();
                        listed.clear();
                        module.clear();
                    }
                    for (int u = 0; u < 6; u++) {
                        if (random.nextInt(3) == 0) {
                            String name = "u" + u;
                            State state = State.values()[random.nextInt(3)];
                            ready.remove(name);
                            listed.remove(name);
                            if (state != State.GONE) {
                                listed.add(name);
                            }
                            if (state == State.READY) {
                                ready.add(name);
                            }
                            members.add(member(name, u + 1, state, 0));
                        }
                    }
                    ListKind kind = whole ? ListKind.FULL : ListKind.DELTA;
                    news = its.over(itsDirectory.news(kind, members), T0 + i);
                }
                if (news != null) {
                    for (Upstream entry : news.entries()) {
                        if (entry.state() == State.READY) {
                            module.add(entry.id());
                        } else {
                            module.remove(entry.id());
                        }
                    }
                }
                Set<Long> expected = new HashSet<>();
                ready.stream()
                        .filter(each -> !out.contains(each))
                        .forEach(
                                each ->
                                        expected.add(
                                                appleridge.discovery.UpstreamNumbers.natural(
                                                        each)));
                assertEquals(expected, module, "seed " + seed + " step " + i);
            }
            assertTrue(its.out().keySet().containsAll(out));
        }
    }
}
