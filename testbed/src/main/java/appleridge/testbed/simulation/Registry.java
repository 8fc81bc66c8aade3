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
 * Discovery at one address: it works through calls in turn, lets watches wait, and has troubles of
 * its own.
 */
final class Registry {
    /** One call; {@code since} below zero for the whole list. */
    record Call(long id, RegistryConnection from, long since, long mayWait, long at) {
        boolean whole() {
            return since < 0;
        }
    }

    /** The site where it stands. */
    static final int ZONE = 0;

    /**
     * What is written has been read by then, if all is well; well within the time that drains
     * allow.
     */
    private static final long ARRIVES = Site.SECOND;

    private static final int BACKLOG = 128;

    /** A call that has waited for so long for its turn fails. */
    private static final long PATIENCE = 2 * Site.SECOND;

    /** The old address closes its connections so long after a move. */
    private static final long LAST_WORDS = 1500 * Site.MS;

    /** What the next address's calls begin with. */
    private static final long CALLS_APART = 1_000_000_000L;

    /** How far apart the watches are told of news. */
    private static final long SPREAD = 20 * Site.MS;

    private final Day day;
    private final Instances instances;
    private final DeliveredEndpointUpdates told;
    private final Host host;
    private final InetSocketAddress address;

    /** What its versions begin with. */
    private final long offset;

    private final SeededRandom chance;
    private final Set<RegistryConnection> connections = new LinkedHashSet<>();
    private final List<Call> parked = new ArrayList<>();
    private SimListener listener;
    private boolean retired;
    private long calls;
    private long freeAt;
    private long hungUntil;
    private long failingUntil;
    private long slowUntil;
    private long slowBy;
    private long staleUntil;
    private long staleBy;
    private long cuts;
    private long garbles;

    Registry(
            Day day,
            Instances instances,
            DeliveredEndpointUpdates told,
            Host host,
            int number,
            long versionsFrom) {
        this.day = day;
        this.instances = instances;
        this.told = told;
        this.host = host;
        this.address = new InetSocketAddress(host.address(), Site.REGISTRY_PORT);
        this.offset = versionsFrom;
        this.calls = number * CALLS_APART;
        this.chance = day.work("registry." + host.name());
        instances.onChange(this::changed);
    }

    /** What its versions begin with. */
    long versionsFrom() {
        return offset;
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
            throw new IllegalStateException("discovery can't listen", e);
        }
        listener.onAcceptable(this::accept);
    }

    private void accept() {
        try {
            for (SimSocket next = listener.accept(); next != null; next = listener.accept()) {
                connections.add(new RegistryConnection(day, this, next));
            }
        } catch (IOException e) {
            throw new IllegalStateException("discovery can't accept", e);
        }
    }

    void closed(RegistryConnection connection) {
        connections.remove(connection);
        parked.removeIf(call -> call.from() == connection);
    }

    // ---- calls

    void called(RegistryConnection from, long since, long wait) {
        Call call = new Call(++calls, from, since, wait, day.now());
        from.calls(call);
        day.evidence.discoveryCall(from.sidecar(), call.id(), call.whole(), wait);
        long cost =
                day.plan.size(ScenarioParameter.CALL_COST) + (day.now() < slowUntil ? slowBy : 0);
        freeAt = Math.max(day.now(), freeAt) + cost;
        day.simulation.at(freeAt, () -> turn(call));
    }

    private void turn(Call call) {
        if (!call.from().owes(call)) {
            return;
        }
        if (day.now() < hungUntil) {
            day.simulation.at(hungUntil, () -> turn(call));
        } else if (day.now() < failingUntil || day.now() - call.at() > PATIENCE) {
            fail(call, "503 Service Unavailable");
        } else if (call.whole() || news(call.since())) {
            answer(call);
        } else {
            parked.add(call);
            long left = Math.max(0, call.at() + call.mayWait() - day.now());
            day.after(
                    left,
                    () -> {
                        if (parked.remove(call)) {
                            answer(call);
                        }
                    });
        }
    }

    private boolean news(long since) {
        return since - offset < instances.revision();
    }

    private void changed() {
        for (Call each : new ArrayList<>(parked)) {
            day.after(
                    chance.nextLong(SPREAD),
                    () -> {
                        if (news(each.since()) && parked.remove(each)) {
                            answer(each);
                        }
                    });
        }
    }

    private void fail(Call call, String status) {
        call.from()
                .say(
                        call,
                        Script.of(Answers.plain(status, "", "")),
                        () ->
                                day.evidence.discoveryCallEnded(
                                        call.from().sidecar(), call.id(), false));
    }

    private void answer(Call call) {
        if (day.now() < hungUntil) {
            day.simulation.at(hungUntil, () -> answer(call));
            return;
        }
        if (!call.from().owes(call)) {
            return;
        }
        long version = instances.revision();
        long since = call.since() - offset;
        boolean stale = day.now() < staleUntil && (call.whole() || chance.hits(0.3));
        boolean all = call.whole() || stale || since < 0 || chance.hits(0.05);
        List<Instances.Entry> entries;
        if (stale) {
            version = instances.revisionAt(day.now() - staleBy);
            entries = instances.wholeAt(version);
        } else {
            entries = all ? instances.whole() : instances.since(since);
        }
        String json = Instances.json(version + offset, all, entries);
        String text = Answers.plain("200 OK", "Content-Type: application/json\r\n", json);
        String sidecar = call.from().sidecar();
        if (cuts > 0 && day.isTroubled()) {
            cuts--;
            int half = text.length() / 2;
            call.from()
                    .say(
                            call,
                            Script.of(text.substring(0, half))
                                    .then(Site.MS, "")
                                    .ending(chance.hits(0.5) ? Script.End.CLOSE : Script.End.RESET),
                            () -> spoilt(sidecar, call));
        } else if (garbles > 0 && day.isTroubled()) {
            garbles--;
            call.from().say(call, Script.of(garbled(json)), () -> spoilt(sidecar, call));
        } else {
            call.from()
                    .say(
                            call,
                            Script.of(text),
                            () -> {
                                if (call.from().isHeard()) {
                                    told.tell(sidecar, all, entries);
                                    day.evidence.discoveryCallEnded(sidecar, call.id(), true);
                                    lookWhetherItArrives(
                                            call.from(), call.from().written(), sidecar, day.now());
                                } else {
                                    // It may arrive when the way is open again.
                                    told.tell(
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

    /** What lies unread at a process that stands still may be lost with the connection yet. */
    private void lookWhetherItArrives(
            RegistryConnection connection, long bytes, String sidecar, long toldAt) {
        day.after(
                ARRIVES,
                () -> {
                    if (connection.isLost(bytes)) {
                        day.evidence.listNotDelivered(sidecar, toldAt);
                    } else if (!connection.wasRead(bytes)) {
                        lookWhetherItArrives(connection, bytes, sidecar, toldAt);
                    }
                });
    }

    /** Nothing that could be read was told: as if it could not have been asked. */
    private void spoilt(String sidecar, Call call) {
        day.evidence.discoveryUnreachable(sidecar, call.at(), day.now());
        day.evidence.discoveryCallEnded(sidecar, call.id(), false);
    }

    private String garbled(String json) {
        String body =
                switch (chance.nextInt(7)) {
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
        return Answers.plain("200 OK", "Content-Type: application/json\r\n", body);
    }

    // ---- troubles

    /** Its process is away for a while; then it is there again, with its list. */
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
        parked.clear();
        freeAt = day.now();
    }

    /** Its machine says nothing for a while. */
    void silent(long duration) {
        host.vanish();
        day.after(duration, host::reappear);
    }

    void hang(long duration) {
        hungUntil = day.now() + duration;
    }

    void failing(long duration) {
        failingUntil = day.now() + duration;
    }

    void slow(long duration, long by) {
        slowUntil = day.now() + duration;
        slowBy = by;
    }

    void stale(long duration, long by) {
        staleUntil = day.now() + duration;
        staleBy = by;
    }

    /** Forgets the watches that are out: their connections stay, and hear nothing of them. */
    void loseWatches() {
        parked.clear();
    }

    void cut(long count) {
        cuts += count;
    }

    void garble(long count) {
        garbles += count;
    }

    /** Another one takes its place: it accepts no more, and soon ends what is open. */
    void retire() {
        retired = true;
        if (listener.isOpen()) {
            listener.close();
        }
        day.after(
                LAST_WORDS,
                () -> {
                    failAll();
                    host.die();
                });
    }
}
