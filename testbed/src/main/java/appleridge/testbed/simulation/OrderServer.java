package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimListener;
import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One process that serves orders: its connections, its cores, its troubles. */
final class OrderServer {
    private static final int BACKLOG = 64;

    /** What it costs to know a repeat. */
    private static final long REPEAT_WORK = Site.MS;

    private static final long LONGEST_DRAIN = 5 * Site.SECOND;

    private final Day day;
    private final Fleet fleet;
    private final Machine machine;
    private final String uid;
    private final int life;
    private final long bornAt;
    private final SeededRandom chance;
    private final ServerResponses answers;
    private final CoreScheduler engine;
    private final LoadReport load;
    private final ColdServerOverloadWatch tip = new ColdServerOverloadWatch();
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private SimListener listener;
    private Runnable whenDrained;
    private boolean mayEnd;
    private boolean stopped;
    private long made;
    private long hungUntil;
    private long fullUntil;
    private long deafUntil;
    private long slowUntil;
    private double slowness = 1;
    private long failingUntil;
    private double failing;
    private long reportUntil;
    private Report report = Report.GOOD;

    OrderServer(
            Day day,
            Fleet fleet,
            Machine machine,
            String uid,
            int life,
            long bornAt,
            SeededRandom chance) {
        this.day = day;
        this.fleet = fleet;
        this.machine = machine;
        this.uid = uid;
        this.life = life;
        this.bornAt = bornAt;
        this.chance = chance;
        this.answers = new ServerResponses(chance);
        this.engine =
                new CoreScheduler(
                        day.simulation, day.plan.count(ScenarioParameter.CORES), this::speed);
        this.load = new LoadReport(day.plan.size(ScenarioParameter.REPORT_AGE), chance);
    }

    String uid() {
        return uid;
    }

    int life() {
        return life;
    }

    long bornAt() {
        return bornAt;
    }

    boolean isDraining() {
        return whenDrained != null;
    }

    void listen() {
        try {
            listener = machine.host().listen(machine.address(), BACKLOG);
        } catch (IOException e) {
            throw new IllegalStateException(machine.name() + " can't listen", e);
        }
        listener.onAcceptable(this::accept);
    }

    private void accept() {
        if (stopped || day.now() < deafUntil) {
            return;
        }
        try {
            for (SimSocket next = listener.accept(); next != null; next = listener.accept()) {
                boolean surplus =
                        connections.size() >= day.plan.count(ScenarioParameter.CONNECTIONS);
                connections.add(new ServerConnection(day, this, next, surplus));
            }
        } catch (IOException e) {
            throw new IllegalStateException(machine.name() + " can't accept", e);
        }
    }

    void closed(ServerConnection connection) {
        connections.remove(connection);
        endWhenDrained();
    }

    /** The process ends here; its sockets are its machine's to end. */
    void stop() {
        stopped = true;
        engine.stop();
        connections.forEach(ServerConnection::stop);
    }

    // ---- what it can do at present

    private double share() {
        if (bornAt == 0) {
            return 1;
        }
        double warm = Math.min(1, (day.now() - bornAt) / (double) Site.RAMP_TIME);
        return Site.COLD_SHARE + (1 - Site.COLD_SHARE) * warm;
    }

    private double speed() {
        return share() / (day.now() < slowUntil ? slowness : 1);
    }

    // ---- requests

    /** A request has come whole on this connection. */
    void take(ServerConnection on, ServerConnection.Received received) {
        String id = received.id();
        SentRequestRegistry.Form form = day.sentRequests.form(id);
        boolean fits = form != null && form.message().equals(received.message());
        long work =
                !fits
                        ? 0
                        : (long) (form.work() * (0.7 + 0.6 * chance.nextDouble()))
                                + (received.first()
                                        ? day.plan.size(ScenarioParameter.HANDSHAKE)
                                        : 0);
        on.tellArrived(received, work);
        if (!fits) {
            on.say(
                    Script.of(
                            ServerResponses.plain(
                                    id.isEmpty() ? "404 Not Found" : "400 Bad Request", "", "")));
            return;
        }
        if (share() < 1
                && tip.recordArrival(
                        day.now(),
                        work,
                        on.sidecar(),
                        share() * day.plan.count(ScenarioParameter.CORES))) {
            day.evidence.serverCollapsed(uid, life, tip.bySidecar());
            machine.failPermanently();
            return;
        }
        whenAwake(() -> admit(on, received, form, work));
    }

    private void whenAwake(Runnable what) {
        if (day.now() < hungUntil) {
            day.after(
                    hungUntil - day.now(),
                    () -> {
                        if (!stopped) {
                            whenAwake(what);
                        }
                    });
        } else {
            what.run();
        }
    }

    private void admit(
            ServerConnection on,
            ServerConnection.Received received,
            SentRequestRegistry.Form form,
            long work) {
        if (isDraining()
                || on.isSurplus()
                || day.now() < fullUntil
                || engine.waiting() >= Math.max(1, day.plan.count(ScenarioParameter.QUEUE))) {
            turnAway(on, received.id(), isDraining() || on.isSurplus());
            return;
        }
        Repeats repeats =
                form.key() == null ? null : fleet.repeats(form.requestClass(), machine.zone());
        boolean repeat = repeats != null && repeats.isRepeat(form.key(), day.now());
        long began = day.now();
        engine.offer(
                new CoreScheduler.Job() {
                    @Override
                    public long start() {
                        boolean late =
                                day.now() > received.dueAt()
                                        && chance.hits(
                                                day.plan.part(ScenarioParameter.DROPS_EXPIRED));
                        if (late && !repeat) {
                            if (repeats != null) {
                                repeats.forget(form.key());
                            }
                            turnAway(on, received.id(), false);
                            return -1;
                        }
                        return repeat ? REPEAT_WORK : work;
                    }

                    @Override
                    public void done() {
                        whenAwake(() -> answer(on, received.id(), day.now() - began));
                    }
                });
    }

    private void turnAway(ServerConnection on, String id, boolean close) {
        day.evidence.serverDidNotRun(uid, life, id);
        on.say(
                Script.of(
                                ServerResponses.plain(
                                        chance.hits(0.8)
                                                ? "503 Service Unavailable"
                                                : "504 Gateway Timeout",
                                        "X-Not-Run: 1\r\n"
                                                + report(Report.GOOD)
                                                + (close ? "Connection: close\r\n" : ""),
                                        ""))
                        .ending(close ? Script.End.CLOSE : Script.End.KEEP));
        endWhenDrained();
    }

    /** Answers what has not come whole: turned away, which gives false, or as if all were known. */
    boolean answerEarly(ServerConnection on, String id) {
        boolean runs = chance.hits(0.5);
        if (!runs) {
            day.evidence.serverDidNotRun(uid, life, id);
            on.say(
                    Script.of(
                            ServerResponses.plain(
                                    "503 Service Unavailable",
                                    "X-Not-Run: 1\r\nConnection: close\r\n",
                                    "")));
        } else {
            on.say(Script.of(answers.good(report(Report.GOOD), make(id), 0)));
        }
        return runs;
    }

    private void answer(ServerConnection on, String id, long took) {
        boolean fails =
                chance.hits(day.faultsMayOccur() ? day.plan.part(ScenarioParameter.ERRORS) : 0)
                        || day.now() < failingUntil && chance.hits(failing);
        load.recordResponse(took, fails);
        if (!on.isOpen()) {
            endWhenDrained();
            return;
        }
        ResponseCorruption spoil = day.sentRequests.takeSpoil(id);
        if (spoil == null
                && day.faultsMayOccur()
                && chance.hits(day.plan.part(ScenarioParameter.SPOILT))) {
            spoil = chance.pick(List.of(ResponseCorruption.values()));
        }
        if (spoil == ResponseCorruption.PAUSES) {
            on.say(answers.pausing(answers.good(report(Report.GOOD), make(id), 0)));
        } else if (spoil != null) {
            on.say(answers.spoilt(spoil, "spoilt/" + uid + '/' + id));
        } else if (fails) {
            on.say(Script.of(answers.failed(report(Report.GOOD))));
        } else {
            sayGood(on, id);
        }
        endWhenDrained();
    }

    private void sayGood(ServerConnection on, String id) {
        ResponseExtra extra = day.sentRequests.takeExtra(id);
        if (extra == null
                && day.faultsMayOccur()
                && chance.hits(day.plan.part(ScenarioParameter.EXTRAS))) {
            extra = chance.pick(List.of(ResponseExtra.values()));
        }
        String headers =
                report(extra == ResponseExtra.BAD_REPORT ? Report.UNREADABLE : Report.GOOD)
                        + (isDraining() ? "Connection: close\r\n" : "");
        String good = answers.good(headers, make(id), day.plan.part(ScenarioParameter.CHUNKED));
        boolean behind = extra == ResponseExtra.COPY || extra == ResponseExtra.NOISE;
        if (extra == null || behind && !on.carriesAtOnce(2 * good.length())) {
            on.say(Script.of(good));
            on.mayRepeat(good);
        } else {
            on.say(answers.withExtra(extra, good));
        }
    }

    private String make(String id) {
        String token = uid + '/' + life + '/' + ++made + '/' + id;
        String body =
                chance.hits(day.plan.part(ScenarioParameter.LARGE_ANSWERS))
                        ? token + '/' + "y".repeat(1 + chance.nextInt(day.plan.largestBody()))
                        : token;
        day.evidence.serverAnswered(uid, life, id, body);
        return body;
    }

    private String report(Report how) {
        Report now = how != Report.GOOD ? how : day.now() < reportUntil ? report : Report.GOOD;
        String text = load.text(day.now(), engine.waiting(), now);
        return text == null ? "" : "X-Load: " + text + "\r\n";
    }

    // ---- troubles

    /** Finishes what it has, takes nothing new, and then tells so. */
    void drain(Runnable whenEmpty) {
        whenDrained = whenEmpty;
        if (chance.hits(0.5)) {
            closeIdle();
        }
        day.after(
                day.bounded(chance.nextLong(LONGEST_DRAIN)),
                () -> {
                    mayEnd = true;
                    endWhenDrained();
                });
    }

    private void endWhenDrained() {
        if (mayEnd
                && !stopped
                && engine.isIdle()
                && connections.stream().noneMatch(ServerConnection::isBusy)) {
            mayEnd = false;
            whenDrained.run();
        }
    }

    /**
     * What it has answered to a sidecar comes once more, where nothing is open; its rest so much
     * later.
     */
    void repeatAnswers(String sidecar, long cutFor) {
        for (ServerConnection each : new ArrayList<>(connections)) {
            if (each.sidecar().equals(sidecar)) {
                each.repeatAnswer(cutFor);
            }
        }
    }

    /** All connections on which nothing is open; returns the other ends of those that were. */
    List<SimSocket> closeIdle() {
        List<SimSocket> closed = new ArrayList<>();
        for (ServerConnection each : new ArrayList<>(connections)) {
            if (each.closeIfIdle()) {
                closed.add(each.sidecarsEnd());
            }
        }
        return closed;
    }

    void hang(long duration) {
        hungUntil = day.now() + duration;
    }

    void full(long duration) {
        fullUntil = day.now() + duration;
    }

    void slow(long duration, double factor) {
        slowUntil = day.now() + duration;
        slowness = factor;
    }

    void fail(long duration, double part) {
        failingUntil = day.now() + duration;
        failing = part;
    }

    void report(long duration, Report how) {
        reportUntil = day.now() + duration;
        report = how;
    }

    /** Leaves what connects in its backlog for a while. */
    void backlog(long duration) {
        deafUntil = day.now() + duration;
        day.after(duration, this::accept);
    }
}
