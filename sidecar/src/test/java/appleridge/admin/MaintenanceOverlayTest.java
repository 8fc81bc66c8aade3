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

/** Maintenance directives combined with sequences of discovery updates. */
class MaintenanceOverlayTest {
    private static final long SLOW_START_WINDOW = TimeUnit.SECONDS.toNanos(7);
    private static final long START_NANOS = TimeUnit.SECONDS.toNanos(1_000_000);

    private final EndpointTable endpointTable = new EndpointTable(TimeUnit.MILLISECONDS::toNanos);
    private final MaintenanceOverlay overlay = new MaintenanceOverlay(SLOW_START_WINDOW);
    private long now = START_NANOS;

    private static DiscoveredEndpoint endpoint(
            String id, int port, HostState state, long startedAtMillis) {
        return new DiscoveredEndpoint(
                id, new InetSocketAddress("127.0.0.1", port), 0, 0, 0, state, 1, startedAtMillis);
    }

    private EndpointUpdate discover(UpdateKind kind, DiscoveredEndpoint... endpoints) {
        return overlay.apply(endpointTable.update(kind, List.of(endpoints)), now);
    }

    private static EndpointUpdate updateOf(MaintenanceOverlay.Result result) {
        return assertInstanceOf(MaintenanceOverlay.Applied.class, result).update();
    }

    private static UpstreamHost onlyEntry(EndpointUpdate update) {
        assertEquals(1, update.entries().size());
        return update.entries().get(0);
    }

    @Test
    void suspendedHostDrainsAtOnceAndIsInSlowStartWhenRestored() {
        discover(
                UpdateKind.SNAPSHOT,
                endpoint("a", 1, HostState.READY, 0),
                endpoint("b", 2, HostState.READY, 0));
        assertEquals(HostState.DRAINING, onlyEntry(updateOf(overlay.suspend("a", now))).state());
        assertNull(updateOf(overlay.suspend("a", now)), "a second suspension changes nothing");
        now += SLOW_START_WINDOW;
        UpstreamHost back = onlyEntry(updateOf(overlay.restore("a", now)));
        assertEquals(HostState.READY, back.state());
        assertEquals(now, back.startedAtNanos());
    }

    /** Guards against a suspension that is lost when discovery removes its host. */
    @Test
    void suspensionSurvivesDiscoveryUpdates() {
        discover(UpdateKind.SNAPSHOT, endpoint("a", 1, HostState.READY, 0));
        overlay.suspend("a", now);
        assertEquals(
                HostState.DRAINING,
                onlyEntry(discover(UpdateKind.SNAPSHOT, endpoint("a", 1, HostState.READY, 0)))
                        .state());
        discover(UpdateKind.DELTA, endpoint("a", 1, HostState.GONE, 0));
        assertNull(
                updateOf(overlay.suspend("a", now)), "suspended hosts stay known while unlisted");
        EndpointUpdate again =
                discover(UpdateKind.DELTA, endpoint("a", 9, HostState.READY, 1_000_000_500));
        assertEquals(HostState.DRAINING, onlyEntry(again).state());
        discover(UpdateKind.SNAPSHOT);
        assertEquals(
                HostState.DRAINING,
                onlyEntry(
                                discover(
                                        UpdateKind.CACHED_SNAPSHOT,
                                        endpoint("a", 3, HostState.READY, 0)))
                        .state());
        EndpointUpdate back = updateOf(overlay.restore("a", now));
        assertEquals(
                3,
                back.addresses().get(onlyEntry(back).id()).getPort(),
                "the restored host has its latest address");
    }

    /**
     * Guards against a wrong start time after a restoration: a host that restarted while it was
     * suspended must go through slow start, and one that finished its slow start during the
     * suspension must not go through it again.
     */
    @Test
    void onlyStartDuringSuspensionCountsAsLatestStart() {
        discover(UpdateKind.SNAPSHOT, endpoint("a", 1, HostState.READY, 999_000_000));
        overlay.suspend("a", now);
        now += 3 * SLOW_START_WINDOW;
        long started = TimeUnit.NANOSECONDS.toMillis(now - 2 * SLOW_START_WINDOW);
        discover(UpdateKind.DELTA, endpoint("a", 1, HostState.READY, started));
        assertEquals(
                TimeUnit.MILLISECONDS.toNanos(started),
                onlyEntry(updateOf(overlay.restore("a", now))).startedAtNanos());
        overlay.suspend("a", now);
        now += 3 * SLOW_START_WINDOW;
        long restored = now;
        assertEquals(restored, onlyEntry(updateOf(overlay.restore("a", now))).startedAtNanos());
        now += SLOW_START_WINDOW / 2;
        assertEquals(
                restored,
                onlyEntry(discover(UpdateKind.SNAPSHOT, endpoint("a", 1, HostState.READY, started)))
                        .startedAtNanos(),
                "a start time that moved back would look like another restart");
        EndpointUpdate flapped = discover(UpdateKind.DELTA, endpoint("a", 1, HostState.GONE, 0));
        assertEquals(HostState.GONE, onlyEntry(flapped).state());
        assertEquals(
                restored,
                onlyEntry(discover(UpdateKind.DELTA, endpoint("a", 1, HostState.READY, started)))
                        .startedAtNanos(),
                "being removed and listed again does not end slow start");
    }

    @Test
    void restoredHostKeepsStateFromDiscovery() {
        discover(
                UpdateKind.SNAPSHOT,
                endpoint("a", 1, HostState.READY, 0),
                endpoint("b", 2, HostState.READY, 0));
        overlay.suspend("a", now);
        overlay.suspend("b", now);
        discover(
                UpdateKind.DELTA,
                endpoint("a", 1, HostState.DRAINING, 0),
                endpoint("b", 2, HostState.GONE, 0));
        assertEquals(HostState.DRAINING, onlyEntry(updateOf(overlay.restore("a", now))).state());
        assertNull(updateOf(overlay.restore("b", now)), "an unlisted host causes no update");
        assertInstanceOf(
                MaintenanceOverlay.Rejected.class,
                overlay.restore("b", now),
                "a host neither listed nor suspended is unknown");
    }

    @Test
    void unknownIdsAreRejectedAndSuspensionsAreBounded() {
        assertInstanceOf(MaintenanceOverlay.Rejected.class, overlay.suspend("a", now));
        assertInstanceOf(MaintenanceOverlay.Rejected.class, overlay.restore("a", now));
        DiscoveredEndpoint[] many = new DiscoveredEndpoint[MaintenanceOverlay.MAX_SUSPENDED + 1];
        for (int i = 0; i < many.length; i++) {
            many[i] = endpoint("u" + i, i + 1, HostState.READY, 0);
        }
        discover(UpdateKind.SNAPSHOT, many);
        for (int i = 0; i < MaintenanceOverlay.MAX_SUSPENDED; i++) {
            updateOf(overlay.suspend("u" + i, now));
        }
        assertInstanceOf(
                MaintenanceOverlay.Rejected.class,
                overlay.suspend("u" + MaintenanceOverlay.MAX_SUSPENDED, now));
        updateOf(overlay.restore("u0", now));
        updateOf(overlay.suspend("u" + MaintenanceOverlay.MAX_SUSPENDED, now));
    }

    /**
     * Compares the hosts that the policy sees as ready with a model over random events: those that
     * discovery lists as ready and that are not suspended.
     */
    @Test
    void readyHostsMatchModelAfterRandomEvents() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            Set<String> ready = new HashSet<>();
            Set<String> listed = new HashSet<>();
            Set<String> suspended = new HashSet<>();
            Set<Long> policyReady = new HashSet<>();
            EndpointTable testedTable = new EndpointTable(TimeUnit.MILLISECONDS::toNanos);
            MaintenanceOverlay testedOverlay = new MaintenanceOverlay(SLOW_START_WINDOW);
            for (int i = 0; i < 120; i++) {
                String id = "u" + random.nextInt(6);
                EndpointUpdate update = null;
                if (random.nextInt(4) == 0) {
                    boolean suspend = random.nextBoolean();
                    MaintenanceOverlay.Result result =
                            suspend
                                    ? testedOverlay.suspend(id, START_NANOS + i)
                                    : testedOverlay.restore(id, START_NANOS + i);
                    boolean known = listed.contains(id) || suspended.contains(id);
                    assertEquals(
                            known, result instanceof MaintenanceOverlay.Applied, "seed " + seed);
                    if (known && suspend) {
                        suspended.add(id);
                    } else {
                        suspended.remove(id);
                    }
                    update =
                            result instanceof MaintenanceOverlay.Applied done
                                    ? done.update()
                                    : null;
                } else {
                    boolean snapshot = random.nextInt(4) == 0;
                    List<DiscoveredEndpoint> endpoints = new ArrayList<>();
                    if (snapshot) {
                        ready.clear();
                        listed.clear();
                        policyReady.clear();
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
                            endpoints.add(endpoint(name, u + 1, state, 0));
                        }
                    }
                    UpdateKind kind = snapshot ? UpdateKind.SNAPSHOT : UpdateKind.DELTA;
                    update =
                            testedOverlay.apply(
                                    testedTable.update(kind, endpoints), START_NANOS + i);
                }
                if (update != null) {
                    for (UpstreamHost entry : update.entries()) {
                        if (entry.state() == HostState.READY) {
                            policyReady.add(entry.id());
                        } else {
                            policyReady.remove(entry.id());
                        }
                    }
                }
                Set<Long> expected = new HashSet<>();
                ready.stream()
                        .filter(each -> !suspended.contains(each))
                        .forEach(each -> expected.add(appleridge.discovery.UpstreamIds.hash(each)));
                assertEquals(expected, policyReady, "seed " + seed + " step " + i);
            }
            assertTrue(testedOverlay.suspendedSince().keySet().containsAll(suspended));
        }
    }
}
