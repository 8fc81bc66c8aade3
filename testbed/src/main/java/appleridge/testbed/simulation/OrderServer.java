package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimListener;
import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One process of an order server, with its connections, its CPU cores and the faults injected into
 * it. Runs within the events of the simulation.
 */
final class OrderServer {
    private static final int BACKLOG = 64;

    /** CPU time in nanoseconds for recognizing a duplicate request. */
    private static final long DUPLICATE_WORK_NANOS = Site.MS;

    private static final long MAX_DRAIN_NANOS = 5 * Site.SECOND;

    private final Day day;
    private final Fleet fleet;
    private final Machine machine;
    private final String uid;
    private final int life;
    private final long bornAt;
    private final SeededRandom random;
    private final ServerResponses answers;
    private final CoreScheduler engine;
    private final LoadReport load;
    private final ColdServerOverloadWatch overload = new ColdServerOverloadWatch();
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private SimListener listener;
    private Runnable onDrained;
    private boolean mayStop;
    private boolean stopped;
    private long processed;
    private long hungUntil;
    private long fullUntil;
    private long acceptPausedUntil;
    private long slowUntil;
    private double slowdown = 1;
    private long failingUntil;
    private double failureFraction;
    private long reportUntil;
    private LoadReportQuality reportQuality = LoadReportQuality.GOOD;

    OrderServer(
            Day day,
            Fleet fleet,
            Machine machine,
            String uid,
            int life,
            long bornAt,
            SeededRandom random) {
        this.day = day;
        this.fleet = fleet;
        this.machine = machine;
        this.uid = uid;
        this.life = life;
        this.bornAt = bornAt;
        this.random = random;
        this.answers = new ServerResponses(random);
        this.engine =
                new CoreScheduler(
                        day.simulation, day.plan.count(ScenarioParameter.CORES), this::speed);
        this.load = new LoadReport(day.plan.size(ScenarioParameter.REPORT_AGE), random);
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

    /** Whether {@link #drain} was called. */
    boolean isDraining() {
        return onDrained != null;
    }

    void listen() {
        try {
            listener = machine.host().listen(machine.address(), BACKLOG);
        } catch (IOException e) {
            throw new IllegalStateException(
                    machine.name() + " can't listen on " + machine.address(), e);
        }
        listener.onAcceptable(this::accept);
    }

    private void accept() {
        if (stopped || day.now() < acceptPausedUntil) {
            return;
        }
        try {
            for (SimSocket next = listener.accept(); next != null; next = listener.accept()) {
                boolean surplus =
                        connections.size() >= day.plan.count(ScenarioParameter.CONNECTIONS);
                connections.add(new ServerConnection(day, this, next, surplus));
            }
        } catch (IOException e) {
            throw new IllegalStateException(
                    machine.name() + " can't accept on " + machine.address(), e);
        }
    }

    /** Called when a connection is closed. */
    void closed(ServerConnection connection) {
        connections.remove(connection);
        finishDrain();
    }

    /** Stops all processing. The machine closes the sockets. */
    void stop() {
        stopped = true;
        engine.stop();
        connections.forEach(ServerConnection::stop);
    }

    // ---- capacity

    /** Its current capacity as a fraction of that of a warm server. */
    private double capacity() {
        if (bornAt == 0) {
            return 1;
        }
        double warmth = Math.min(1, (day.now() - bornAt) / (double) Site.RAMP_TIME);
        return Site.COLD_SHARE + (1 - Site.COLD_SHARE) * warmth;
    }

    private double speed() {
        return capacity() / (day.now() < slowUntil ? slowdown : 1);
    }

    // ---- requests

    /** Handles a complete request that was received on a connection. */
    void handle(ServerConnection connection, ServerConnection.Received received) {
        String id = received.id();
        SentRequestRegistry.SentRequest sent = day.sentRequests.find(id);
        boolean matches = sent != null && sent.message().equals(received.message());
        long work =
                !matches
                        ? 0
                        : (long) (sent.work() * (0.7 + 0.6 * random.nextDouble()))
                                + (received.first()
                                        ? day.plan.size(ScenarioParameter.HANDSHAKE)
                                        : 0);
        connection.reportReceived(received, work);
        if (!matches) {
            connection.send(
                    Script.of(
                            ServerResponses.plain(
                                    id.isEmpty() ? "404 Not Found" : "400 Bad Request", "", "")));
            return;
        }
        if (capacity() < 1
                && overload.recordArrival(
                        day.now(),
                        work,
                        connection.sidecar(),
                        capacity() * day.plan.count(ScenarioParameter.CORES))) {
            day.evidence.serverCollapsed(uid, life, overload.bySidecar());
            machine.failPermanently();
            return;
        }
        whenNotHung(() -> admit(connection, received, sent, work));
    }

    private void whenNotHung(Runnable action) {
        if (day.now() < hungUntil) {
            day.after(
                    hungUntil - day.now(),
                    () -> {
                        if (!stopped) {
                            whenNotHung(action);
                        }
                    });
        } else {
            action.run();
        }
    }

    private void admit(
            ServerConnection connection,
            ServerConnection.Received received,
            SentRequestRegistry.SentRequest sent,
            long work) {
        if (isDraining()
                || connection.isSurplus()
                || day.now() < fullUntil
                || engine.waiting() >= Math.max(1, day.plan.count(ScenarioParameter.QUEUE))) {
            reject(connection, received.id(), isDraining() || connection.isSurplus());
            return;
        }
        Deduplicator deduplicator =
                sent.key() == null ? null : fleet.repeats(sent.requestClass(), machine.zone());
        boolean duplicate = deduplicator != null && deduplicator.isDuplicate(sent.key(), day.now());
        long admittedAt = day.now();
        engine.offer(
                new CoreScheduler.Job() {
                    @Override
                    public long start() {
                        boolean late =
                                day.now() > received.dueAt()
                                        && random.hits(
                                                day.plan.part(ScenarioParameter.DROPS_EXPIRED));
                        if (late && !duplicate) {
                            if (deduplicator != null) {
                                deduplicator.forget(sent.key());
                            }
                            reject(connection, received.id(), false);
                            return -1;
                        }
                        return duplicate ? DUPLICATE_WORK_NANOS : work;
                    }

                    @Override
                    public void done() {
                        whenNotHung(
                                () -> answer(connection, received.id(), day.now() - admittedAt));
                    }
                });
    }

    private void reject(ServerConnection connection, String id, boolean close) {
        day.evidence.serverDidNotRun(uid, life, id);
        connection.send(
                Script.of(
                                ServerResponses.plain(
                                        random.hits(0.8)
                                                ? "503 Service Unavailable"
                                                : "504 Gateway Timeout",
                                        "X-Not-Run: 1\r\n"
                                                + report(LoadReportQuality.GOOD)
                                                + (close ? "Connection: close\r\n" : ""),
                                        ""))
                        .ending(close ? Script.End.CLOSE : Script.End.KEEP));
        finishDrain();
    }

    /**
     * Responds before the whole request has arrived, either with an error or as if it had been
     * processed.
     *
     * @return whether the response is that of a processed request
     */
    boolean answerEarly(ServerConnection connection, String id) {
        boolean runs = random.hits(0.5);
        if (!runs) {
            day.evidence.serverDidNotRun(uid, life, id);
            connection.send(
                    Script.of(
                            ServerResponses.plain(
                                    "503 Service Unavailable",
                                    "X-Not-Run: 1\r\nConnection: close\r\n",
                                    "")));
        } else {
            connection.send(
                    Script.of(answers.good(report(LoadReportQuality.GOOD), process(id), 0)));
        }
        return runs;
    }

    private void answer(ServerConnection connection, String id, long responseNanos) {
        boolean fails =
                random.hits(day.faultsMayOccur() ? day.plan.part(ScenarioParameter.ERRORS) : 0)
                        || day.now() < failingUntil && random.hits(failureFraction);
        load.recordResponse(responseNanos, fails);
        if (!connection.isOpen()) {
            finishDrain();
            return;
        }
        ResponseCorruption corruption = day.sentRequests.takeCorruption(id);
        if (corruption == null
                && day.faultsMayOccur()
                && random.hits(day.plan.part(ScenarioParameter.SPOILT))) {
            corruption = random.pick(List.of(ResponseCorruption.values()));
        }
        if (corruption == ResponseCorruption.PAUSES) {
            connection.send(
                    answers.pausing(answers.good(report(LoadReportQuality.GOOD), process(id), 0)));
        } else if (corruption != null) {
            connection.send(answers.spoilt(corruption, "spoilt/" + uid + '/' + id));
        } else if (fails) {
            connection.send(Script.of(answers.failed(report(LoadReportQuality.GOOD))));
        } else {
            answerSuccess(connection, id);
        }
        finishDrain();
    }

    private void answerSuccess(ServerConnection connection, String id) {
        ResponseExtra extra = day.sentRequests.takeExtra(id);
        if (extra == null
                && day.faultsMayOccur()
                && random.hits(day.plan.part(ScenarioParameter.EXTRAS))) {
            extra = random.pick(List.of(ResponseExtra.values()));
        }
        String headers =
                report(
                                extra == ResponseExtra.BAD_REPORT
                                        ? LoadReportQuality.UNREADABLE
                                        : LoadReportQuality.GOOD)
                        + (isDraining() ? "Connection: close\r\n" : "");
        String good = answers.good(headers, process(id), day.plan.part(ScenarioParameter.CHUNKED));
        boolean follows = extra == ResponseExtra.COPY || extra == ResponseExtra.NOISE;
        if (extra == null || follows && !connection.carriesAtOnce(2 * good.length())) {
            connection.send(Script.of(good));
            connection.setRepeatable(good);
        } else {
            connection.send(answers.withExtra(extra, good));
        }
    }

    /** Processes a request: returns the body of its response, which is unique to this run. */
    private String process(String id) {
        String token = uid + '/' + life + '/' + ++processed + '/' + id;
        String body =
                random.hits(day.plan.part(ScenarioParameter.LARGE_ANSWERS))
                        ? token + '/' + "y".repeat(1 + random.nextInt(day.plan.maxBodyBytes()))
                        : token;
        day.evidence.serverAnswered(uid, life, id, body);
        return body;
    }

    private String report(LoadReportQuality how) {
        LoadReportQuality now =
                how != LoadReportQuality.GOOD
                        ? how
                        : day.now() < reportUntil ? reportQuality : LoadReportQuality.GOOD;
        String text = load.text(day.now(), engine.waiting(), now);
        return text == null ? "" : "X-Load: " + text + "\r\n";
    }

    // ---- faults

    /** Rejects new requests, finishes the open ones and then calls back. */
    void drain(Runnable whenDone) {
        onDrained = whenDone;
        if (random.hits(0.5)) {
            closeIdle();
        }
        day.after(
                day.bounded(random.nextLong(MAX_DRAIN_NANOS)),
                () -> {
                    mayStop = true;
                    finishDrain();
                });
    }

    private void finishDrain() {
        if (mayStop
                && !stopped
                && engine.isIdle()
                && connections.stream().noneMatch(ServerConnection::isBusy)) {
            mayStop = false;
            onDrained.run();
        }
    }

    /**
     * Sends the last response to a sidecar again on every idle connection.
     *
     * @param restAfter delay in nanoseconds of all but the first bytes; 0 for none
     */
    void repeatAnswers(String sidecar, long restAfter) {
        for (ServerConnection each : new ArrayList<>(connections)) {
            if (each.sidecar().equals(sidecar)) {
                each.repeatAnswer(restAfter);
            }
        }
    }

    /** Closes all idle connections; returns the sidecars' ends of them. */
    List<SimSocket> closeIdle() {
        List<SimSocket> closed = new ArrayList<>();
        for (ServerConnection each : new ArrayList<>(connections)) {
            if (each.closeIfIdle()) {
                closed.add(each.sidecarsEnd());
            }
        }
        return closed;
    }

    /** Neither starts nor answers requests for a while. */
    void hang(long duration) {
        hungUntil = day.now() + duration;
    }

    /** Rejects all requests for a while, as with a full queue. */
    void full(long duration) {
        fullUntil = day.now() + duration;
    }

    /** Divides its speed by a factor for a while. */
    void slow(long duration, double factor) {
        slowUntil = day.now() + duration;
        slowdown = factor;
    }

    /** Answers a fraction of the requests with an error for a while. */
    void fail(long duration, double fraction) {
        failingUntil = day.now() + duration;
        failureFraction = fraction;
    }

    /** Sends load reports of another quality for a while. */
    void report(long duration, LoadReportQuality how) {
        reportUntil = day.now() + duration;
        reportQuality = how;
    }

    /** Accepts no connections for a while, so that they stay in the backlog. */
    void backlog(long duration) {
        acceptPausedUntil = day.now() + duration;
        day.after(duration, this::accept);
    }
}
