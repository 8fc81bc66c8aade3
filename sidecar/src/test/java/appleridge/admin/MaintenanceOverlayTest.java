package appleridge.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.discovery.EndpointTable;
import appleridge.discovery.EndpointTable.EndpointUpdate;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Maintenance directives applied to any discovery updates. */
class MaintenanceOverlayTest {
    private static final long RAMP = TimeUnit.SECONDS.toNanos(7);
    private static final long T0 = TimeUnit.SECONDS.toNanos(1_000_000);

    private final EndpointTable directory = new EndpointTable(TimeUnit.MILLISECONDS::toNanos);
    private final MaintenanceOverlay maintenance = new MaintenanceOverlay(RAMP);
    private long now = T0;

    private static DiscoveredEndpoint member(String id, int port, HostState state, long started) {
        return new DiscoveredEndpoint(
                id, new InetSocketAddress("127.0.0.1", port), 0, 0, 0, state, 1, started);
    }

    private EndpointUpdate told(UpdateKind kind, DiscoveredEndpoint... members) {
        return maintenance.apply(directory.update(kind, List.of(members)), now);
    }

    private static EndpointUpdate news(MaintenanceOverlay.Result effect) {
        return assertInstanceOf(MaintenanceOverlay.Applied.class, effect).update();
    }

    private static UpstreamHost only(EndpointUpdate news) {
        assertEquals(1, news.entries().size());
        return news.entries().get(0);
    }

    @Test
    void suspendedHostDrainsAtOnceAndIsInSlowStartWhenRestored() {
        told(
                UpdateKind.SNAPSHOT,
                member("a", 1, HostState.READY, 0),
                member("b", 2, HostState.READY, 0));
        assertEquals(HostState.DRAINING, only(news(maintenance.suspend("a", now))).state());
        assertNull(news(maintenance.suspend("a", now)), "nothing changes by a second call");
        now += RAMP;
        UpstreamHost back = only(news(maintenance.restore("a", now)));
        assertEquals(HostState.READY, back.state());
        assertEquals(now, back.startedAtNanos());
    }

    /** Guards against a directive that is forgotten when discovery removes its host. */
    @Test
    void suspensionHoldsWhateverDiscoverySays() {
        told(UpdateKind.SNAPSHOT, member("a", 1, HostState.READY, 0));
        maintenance.suspend("a", now);
        assertEquals(
                HostState.DRAINING,
                only(told(UpdateKind.SNAPSHOT, member("a", 1, HostState.READY, 0))).state());
        told(UpdateKind.DELTA, member("a", 1, HostState.GONE, 0));
        assertNull(news(maintenance.suspend("a", now)), "known, though not listed");
        EndpointUpdate again =
                told(UpdateKind.DELTA, member("a", 9, HostState.READY, 1_000_000_500));
        assertEquals(HostState.DRAINING, only(again).state());
        told(UpdateKind.SNAPSHOT);
        assertEquals(
                HostState.DRAINING,
                only(told(UpdateKind.CACHED_SNAPSHOT, member("a", 3, HostState.READY, 0))).state());
        EndpointUpdate back = news(maintenance.restore("a", now));
        assertEquals(
                3, back.addresses().get(only(back).id()).getPort(), "where the list has it now");
    }

    /**
     * Guards against a machine that was made anew while it was out being taken for warm, or for
     * cold.
     */
    @Test
    void onlyAStartWithinTheSuspensionIsTakenAsTheLastStart() {
        told(UpdateKind.SNAPSHOT, member("a", 1, HostState.READY, 999_000_000));
        maintenance.suspend("a", now);
        now += 3 * RAMP;
        long started = TimeUnit.NANOSECONDS.toMillis(now - 2 * RAMP);
        told(UpdateKind.DELTA, member("a", 1, HostState.READY, started));
        assertEquals(
                TimeUnit.MILLISECONDS.toNanos(started),
                only(news(maintenance.restore("a", now))).startedAtNanos());
        maintenance.suspend("a", now);
        now += 3 * RAMP;
        long restored = now;
        assertEquals(restored, only(news(maintenance.restore("a", now))).startedAtNanos());
        now += RAMP / 2;
        assertEquals(
                restored,
                only(told(UpdateKind.SNAPSHOT, member("a", 1, HostState.READY, started)))
                        .startedAtNanos(),
                "a start that moved back and forth would look like another one");
        EndpointUpdate flapped = told(UpdateKind.DELTA, member("a", 1, HostState.GONE, 0));
        assertEquals(HostState.GONE, only(flapped).state());
        assertEquals(
                restored,
                only(told(UpdateKind.DELTA, member("a", 1, HostState.READY, started)))
                        .startedAtNanos(),
                "gone and back does not make it warm");
    }

    @Test
    void restoredHostThatDiscoveryDrainsOrRemovedStaysSo() {
        told(
                UpdateKind.SNAPSHOT,
                member("a", 1, HostState.READY, 0),
                member("b", 2, HostState.READY, 0));
        maintenance.suspend("a", now);
        maintenance.suspend("b", now);
        told(
                UpdateKind.DELTA,
                member("a", 1, HostState.DRAINING, 0),
                member("b", 2, HostState.GONE, 0));
        assertEquals(HostState.DRAINING, only(news(maintenance.restore("a", now))).state());
        assertNull(news(maintenance.restore("b", now)), "nobody is there to be told of");
        assertInstanceOf(
                MaintenanceOverlay.Rejected.class,
                maintenance.restore("b", now),
                "and now nobody holds it");
    }

    @Test
    void unknownIdsAreRejectedAndSuspensionsAreBounded() {
        assertInstanceOf(MaintenanceOverlay.Rejected.class, maintenance.suspend("a", now));
        assertInstanceOf(MaintenanceOverlay.Rejected.class, maintenance.restore("a", now));
        DiscoveredEndpoint[] many = new DiscoveredEndpoint[MaintenanceOverlay.MAX_SUSPENDED + 1];
        for (int i = 0; i < many.length; i++) {
            many[i] = member("u" + i, i + 1, HostState.READY, 0);
        }
        told(UpdateKind.SNAPSHOT, many);
        for (int i = 0; i < MaintenanceOverlay.MAX_SUSPENDED; i++) {
            news(maintenance.suspend("u" + i, now));
        }
        assertInstanceOf(
                MaintenanceOverlay.Rejected.class,
                maintenance.suspend("u" + MaintenanceOverlay.MAX_SUSPENDED, now));
        news(maintenance.restore("u0", now));
        news(maintenance.suspend("u" + MaintenanceOverlay.MAX_SUSPENDED, now));
    }

    /**
     * Against a plain model: ready to the module is who the list has ready and nobody has called
     * out.
     */
    @Test
    void afterAnyEventsThePolicySeesWhatAModelSees() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            Set<String> ready = new HashSet<>();
            Set<String> listed = new HashSet<>();
            Set<String> out = new HashSet<>();
            Set<Long> module = new HashSet<>();
            EndpointTable itsDirectory = new EndpointTable(TimeUnit.MILLISECONDS::toNanos);
            MaintenanceOverlay its = new MaintenanceOverlay(RAMP);
            for (int i = 0; i < 120; i++) {
                String id = "u" + random.nextInt(6);
                EndpointUpdate news = null;
                if (random.nextInt(4) == 0) {
                    boolean suspends = random.nextBoolean();
                    MaintenanceOverlay.Result effect =
                            suspends ? its.suspend(id, T0 + i) : its.restore(id, T0 + i);
                    boolean held = listed.contains(id) || out.contains(id);
                    assertEquals(
                            held, effect instanceof MaintenanceOverlay.Applied, "seed " + seed);
                    if (held && suspends) {
                        out.add(id);
                    } else {
                        out.remove(id);
                    }
                    news = effect instanceof MaintenanceOverlay.Applied done ? done.update() : null;
                } else {
                    boolean whole = random.nextInt(4) == 0;
                    List<DiscoveredEndpoint> members = new ArrayList<>();
                    if (whole) {
                        ready.clear();
                        listed.clear();
                        module.clear();
                    }
                    for (int u = 0; u < 6; u++) {
                        if (random.nextInt(3) == 0) {
                            String name = "u" + u;
                            HostState state = HostState.values()[random.nextInt(3)];
                            ready.remove(name);
                            listed.remove(name);
                            if (state != HostState.GONE) {
                                listed.add(name);
                            }
                            if (state == HostState.READY) {
                                ready.add(name);
                            }
                            members.add(member(name, u + 1, state, 0));
                        }
                    }
                    UpdateKind kind = whole ? UpdateKind.SNAPSHOT : UpdateKind.DELTA;
                    news = its.apply(itsDirectory.update(kind, members), T0 + i);
                }
                if (news != null) {
                    for (UpstreamHost entry : news.entries()) {
                        if (entry.state() == HostState.READY) {
                            module.add(entry.id());
                        } else {
                            module.remove(entry.id());
                        }
                    }
                }
                Set<Long> expected = new HashSet<>();
                ready.stream()
                        .filter(each -> !out.contains(each))
                        .forEach(each -> expected.add(appleridge.discovery.UpstreamIds.hash(each)));
                assertEquals(expected, module, "seed " + seed + " step " + i);
            }
            assertTrue(its.suspendedSince().keySet().containsAll(out));
        }
    }
}
