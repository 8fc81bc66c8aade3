package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimListener;
import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The discovery service at one address. It processes calls one after the other, holds watches until
 * there is a change, and can be made to fail.
 */
final class Registry {

    /**
     * A call on a connection.
     *
     * @param since the version that a watch knows; negative for the whole list
     * @param maxWait how long a watch waits for a change, in nanoseconds
     * @param at when the call was received
     */
    record Call(long id, RegistryConnection from, long since, long maxWait, long at) {
        boolean whole() {
            return since < 0;
        }
    }

    /** The index of the zone of the discovery service. */
    static final int ZONE = 0;

    /**
     * When to check whether a response was read: normally it was by then, and this is well within
     * the grace period of a drain.
     */
    private static final long DELIVERY_CHECK_NANOS = Site.SECOND;

    private static final int BACKLOG = 128;

    /** A call that has been queued for longer fails. */
    private static final long MAX_QUEUE_NANOS = 2 * Site.SECOND;

    /** From a move until the old address closes its connections. */
    private static final long RETIREMENT_NANOS = 1500 * Site.MS;

    /** Distance of the call ids of different addresses, so that ids are unique. */
    private static final long CALL_ID_RANGE = 1_000_000_000L;

    /** Watches are answered at random times within this after a change. */
    private static final long WATCH_SPREAD_NANOS = 20 * Site.MS;

    private final Day day;
    private final Instances instances;
    private final DeliveredEndpointUpdates delivered;
    private final Host host;
    private final InetSocketAddress address;

    /** Added to every version: addresses count versions from different starts. */
    private final long versionOffset;

    private final SeededRandom random;
    private final Set<RegistryConnection> connections = new LinkedHashSet<>();
    private final List<Call> watches = new ArrayList<>();
    private SimListener listener;
    private boolean retired;
    private long lastCallId;
    private long freeAt;
    private long hungUntil;
    private long failingUntil;
    private long slowUntil;
    private long slowBy;
    private long staleUntil;
    private long staleBy;
    private long pendingCuts;
    private long pendingGarbles;

    Registry(
            Day day,
            Instances instances,
            DeliveredEndpointUpdates delivered,
            Host host,
            int number,
            long versionOffset) {
        this.day = day;
        this.instances = instances;
        this.delivered = delivered;
        this.host = host;
        this.address = new InetSocketAddress(host.address(), Site.REGISTRY_PORT);
        this.versionOffset = versionOffset;
        this.lastCallId = number * CALL_ID_RANGE;
        this.random = day.work("registry." + host.name());
        instances.onChange(this::listChanged);
    }

    /** Added to every version of this address. */
    long versionOffset() {
        return versionOffset;
    }

    InetSocketAddress address() {
        return address;
    }

    Host host() {
        return host;
    }

    void listen() {
        try {
            listener = host.listen(address, BACKLOG);
        } catch (IOException e) {
            throw new IllegalStateException("discovery can't listen on " + address, e);
        }
        listener.onAcceptable(this::accept);
    }

    private void accept() {
        try {
            for (SimSocket next = listener.accept(); next != null; next = listener.accept()) {
                connections.add(new RegistryConnection(day, this, next));
            }
        } catch (IOException e) {
            throw new IllegalStateException("discovery can't accept on " + address, e);
        }
    }

    /** Called when a connection is closed. */
    void closed(RegistryConnection connection) {
        connections.remove(connection);
        watches.removeIf(call -> call.from() == connection);
    }

    // ---- calls

    /** Queues a call that was received on a connection. */
    void called(RegistryConnection from, long since, long wait) {
        Call call = new Call(++lastCallId, from, since, wait, day.now());
        from.setOpenCall(call);
        day.evidence.discoveryCall(from.sidecar(), call.id(), call.whole(), wait);
        long cost =
                day.plan.size(ScenarioParameter.CALL_COST) + (day.now() < slowUntil ? slowBy : 0);
        freeAt = Math.max(day.now(), freeAt) + cost;
        day.simulation.at(freeAt, () -> process(call));
    }

    private void process(Call call) {
        if (!call.from().isOpen(call)) {
            return;
        }
        if (day.now() < hungUntil) {
            day.simulation.at(hungUntil, () -> process(call));
        } else if (day.now() < failingUntil || day.now() - call.at() > MAX_QUEUE_NANOS) {
            fail(call, "503 Service Unavailable");
        } else if (call.whole() || hasChangedSince(call.since())) {
            answer(call);
        } else {
            watches.add(call);
            long left = Math.max(0, call.at() + call.maxWait() - day.now());
            day.after(
                    left,
                    () -> {
                        if (watches.remove(call)) {
                            answer(call);
                        }
                    });
        }
    }

    private boolean hasChangedSince(long since) {
        return since - versionOffset < instances.revision();
    }

    private void listChanged() {
        for (Call each : new ArrayList<>(watches)) {
            day.after(
                    random.nextLong(WATCH_SPREAD_NANOS),
                    () -> {
                        if (hasChangedSince(each.since()) && watches.remove(each)) {
                            answer(each);
                        }
                    });
        }
    }

    private void fail(Call call, String status) {
        call.from()
                .send(
                        call,
                        Script.of(ServerResponses.plain(status, "", "")),
                        () ->
                                day.evidence.discoveryCallEnded(
                                        call.from().sidecar(), call.id(), false));
    }

    private void answer(Call call) {
        if (day.now() < hungUntil) {
            day.simulation.at(hungUntil, () -> answer(call));
            return;
        }
        if (!call.from().isOpen(call)) {
            return;
        }
        long version = instances.revision();
        long clientVersion = call.since() - versionOffset;
        boolean stale = day.now() < staleUntil && (call.whole() || random.hits(0.3));
        boolean all = call.whole() || stale || clientVersion < 0 || random.hits(0.05);
        List<Instances.Entry> entries;
        if (stale) {
            version = instances.revisionAt(day.now() - staleBy);
            entries = instances.snapshotAt(version);
        } else {
            entries = all ? instances.snapshot() : instances.since(clientVersion);
        }
        String json = Instances.json(version + versionOffset, all, entries);
        String text = ServerResponses.plain("200 OK", "Content-Type: application/json\r\n", json);
        String sidecar = call.from().sidecar();
        if (pendingCuts > 0 && day.faultsMayOccur()) {
            pendingCuts--;
            int half = text.length() / 2;
            call.from()
                    .send(
                            call,
                            Script.of(text.substring(0, half))
                                    .then(Site.MS, "")
                                    .ending(random.hits(0.5) ? Script.End.CLOSE : Script.End.RESET),
                            () -> reportUnreadable(sidecar, call));
        } else if (pendingGarbles > 0 && day.faultsMayOccur()) {
            pendingGarbles--;
            call.from().send(call, Script.of(garbled(json)), () -> reportUnreadable(sidecar, call));
        } else {
            call.from()
                    .send(
                            call,
                            Script.of(text),
                            () -> {
                                if (call.from().canReachSidecar()) {
                                    delivered.record(sidecar, all, entries);
                                    day.evidence.discoveryCallEnded(sidecar, call.id(), true);
                                    checkDelivery(
                                            call.from(),
                                            call.from().bytesWritten(),
                                            sidecar,
                                            day.now());
                                } else {

                                    // It may still arrive when the link is up again.
                                    delivered.record(
                                            sidecar,
                                            false,
                                            entries.stream()
                                                    .filter(
                                                            each ->
                                                                    each.state()
                                                                            .equals(
                                                                                    Instances
                                                                                            .READY))
                                                    .toList());
                                }
                            });
        }
    }

    /** A response that a paused process has not read yet may still be lost with the connection. */
    private void checkDelivery(
            RegistryConnection connection, long bytes, String sidecar, long sentAt) {
        day.after(
                DELIVERY_CHECK_NANOS,
                () -> {
                    if (connection.isLost(bytes)) {
                        day.evidence.listNotDelivered(sidecar, sentAt);
                    } else if (!connection.wasRead(bytes)) {
                        checkDelivery(connection, bytes, sidecar, sentAt);
                    }
                });
    }

    /** An unreadable response counts as if discovery had been unreachable during the call. */
    private void reportUnreadable(String sidecar, Call call) {
        day.evidence.discoveryUnreachable(sidecar, call.at(), day.now());
        day.evidence.discoveryCallEnded(sidecar, call.id(), false);
    }

    private String garbled(String json) {
        String body =
                switch (random.nextInt(7)) {
                    case 0 -> json.substring(0, json.length() / 2);
                    case 1 -> "<html>no list here</html>";
                    case 2 -> json.replace("\"Ready\"", "\"Sleeping\"").replace("[]", "[{}]");
                    case 3 -> json.replace("\"rev\":", "\"rev\":\"x").replaceFirst(",", "\",");
                    case 4 ->
                            json.replace(
                                            "\"targets\":[",
                                            "\"targets\":[{\"uid\":\"\",\"endpoint\":\"nowhere\"},")
                                    .replace("},]", "}]");
                    case 5 -> "";
                    default -> "null";
                };
        return ServerResponses.plain("200 OK", "Content-Type: application/json\r\n", body);
    }

    // ---- faults

    /** Its process is down for a while and then back with the same list. */
    void down(long duration) {
        if (!listener.isOpen()) {
            return;
        }
        failAll();
        host.die();
        day.after(
                duration,
                () -> {
                    if (!retired) {
                        listen();
                    }
                });
    }

    private void failAll() {
        for (RegistryConnection each : new ArrayList<>(connections)) {
            each.abort(call -> day.evidence.discoveryCallEnded(each.sidecar(), call.id(), false));
        }
        connections.clear();
        watches.clear();
        freeAt = day.now();
    }

    /** Its machine is unreachable for a while. */
    void silent(long duration) {
        host.isolate();
        day.after(duration, host::reconnect);
    }

    /** Answers nothing for a while. */
    void hang(long duration) {
        hungUntil = day.now() + duration;
    }

    /** Answers calls with 503 for a while. */
    void failing(long duration) {
        failingUntil = day.now() + duration;
    }

    /** Takes longer for each call for a while. */
    void slow(long duration, long by) {
        slowUntil = day.now() + duration;
        slowBy = by;
    }

    /** Answers from an older version for a while; {@code by}: its age. */
    void stale(long duration, long by) {
        staleUntil = day.now() + duration;
        staleBy = by;
    }

    /** Drops all open watches without a response; their connections stay open. */
    void loseWatches() {
        watches.clear();
    }

    /** Cuts the next responses in half. */
    void cut(long count) {
        pendingCuts += count;
    }

    /** Garbles the lists in the next responses. */
    void garble(long count) {
        pendingGarbles += count;
    }

    /** Called when discovery moves: accepts no connections, and closes the open ones soon after. */
    void retire() {
        retired = true;
        if (listener.isOpen()) {
            listener.close();
        }
        day.after(
                RETIREMENT_NANOS,
                () -> {
                    failAll();
                    host.die();
                });
    }
}
