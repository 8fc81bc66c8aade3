package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ClientAttempt;
import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.simnet.Simulation;
import java.util.Map;
import java.util.function.Supplier;

/** Notes the events of a day in the simulation's digest, and as lines of its trace. */
final class TraceRecorder implements DayListener {
    private static final int REQUEST_STARTED = 101;
    private static final int ANSWERED = 102;
    private static final int RESPONSE_BROKEN = 103;
    private static final int GAVE_UP = 104;
    private static final int REQUEST_RECEIVED = 105;
    private static final int NOT_RUN = 106;
    private static final int REQUEST_PROCESSED = 107;
    private static final int SERVER = 108;
    private static final int LIST = 109;
    private static final int SIDECAR = 110;
    private static final int FAULT = 111;
    private static final int DAY = 112;
    private static final int BAD_CLIENT = 113;
    private static final int MODULE = 114;

    private final Simulation simulation;

    TraceRecorder(Simulation simulation) {
        this.simulation = simulation;
    }

    private void note(int kind, String subject, long value, Supplier<String> text) {
        simulation.note(kind, subject == null ? 0 : subject.hashCode(), value, text);
    }

    @Override
    public void requestStarted(ClientAttempt attempt) {
        note(
                REQUEST_STARTED,
                attempt.id(),
                attempt.deadlineNanos(),
                () ->
                        "client sends request to "
                                + attempt.sidecar()
                                + ": "
                                + RequestClasses.of(attempt.requestClass()).name()
                                + " "
                                + attempt.id()
                                + " ("
                                + attempt.operationId()
                                + ", attempt "
                                + attempt.number()
                                + "), deadline "
                                + Unit.TIME.text(attempt.deadlineNanos())
                                + " s");
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        note(ANSWERED, id, status, () -> "client received response: " + id + " " + status);
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        note(
                RESPONSE_BROKEN,
                id,
                how.length(),
                () ->
                        "client received no complete response: "
                                + id
                                + " "
                                + how
                                + (begun ? ", begun" : ""));
    }

    @Override
    public void clientGaveUp(String id) {
        note(GAVE_UP, id, 0, () -> "client gives up " + id);
    }

    @Override
    public void connectRefused(String sidecar, long begunAt) {
        note(SIDECAR, sidecar, begunAt, () -> sidecar + " refuses a connection");
    }

    @Override
    public void readinessAnswered(String sidecar, int status, long lastByteSentAt) {
        note(SIDECAR, sidecar, status, () -> sidecar + " readiness probe: status " + status);
    }

    @Override
    public void badClientConnected(String name, long owedBy) {
        note(BAD_CLIENT, name, owedBy, () -> "bad client connected: " + name);
    }

    @Override
    public void badClientEnded(String name, int statusOr0) {
        note(BAD_CLIENT, name, statusOr0, () -> "bad client rejected: " + name + " " + statusOr0);
    }

    @Override
    public void serverReceived(
            String server,
            int life,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        note(
                REQUEST_RECEIVED,
                id,
                work,
                () ->
                        server
                                + " received "
                                + id
                                + " from "
                                + sidecar
                                + ", work "
                                + Unit.TIME.text(work)
                                + " s");
    }

    @Override
    public void serverDidNotRun(String server, int life, String id) {
        note(NOT_RUN, id, 0, () -> server + " rejects " + id);
    }

    @Override
    public void serverAnswered(String server, int life, String id, String body) {
        note(REQUEST_PROCESSED, id, body.length(), () -> server + " processed " + id);
    }

    @Override
    public void serverState(String server, int life, String state, long bornAt) {
        note(SERVER, server, bornAt, () -> server + " (" + life + ") is " + state);
    }

    @Override
    public void serverCollapsed(
            String server, int life, Map<String, Double> workBySidecarInWindow) {
        note(
                SERVER,
                server,
                -1,
                () -> server + " collapses, work by sidecar: " + workBySidecarInWindow);
    }

    @Override
    public void discoveryChanged(long revision, String uid, int life, String state, long bornAt) {
        note(
                LIST,
                uid,
                revision,
                () -> "discovery lists, version " + revision + ": " + uid + " " + state);
    }

    @Override
    public void listDelivered(String sidecar, String uid, String state, long bornAt) {
        note(
                LIST,
                uid,
                state.length(),
                () -> sidecar + " receives from discovery: " + uid + " " + state);
    }

    @Override
    public void nodeDelivered(String sidecar, String uid, String state, long bornAt) {
        note(
                LIST,
                uid,
                state.length(),
                () -> sidecar + " receives from ephemeral nodes: " + uid + " " + state);
    }

    @Override
    public void moduleHostUpdated(
            String sidecar, int life, String uid, boolean ready, long startedAt) {
        note(
                MODULE,
                uid,
                startedAt,
                () -> sidecar + "'s module lists " + uid + (ready ? " ready" : " not ready"));
    }

    @Override
    public void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {
        note(
                LIST,
                sidecar,
                callId,
                () ->
                        sidecar
                                + " calls discovery, call "
                                + callId
                                + (whole
                                        ? ", whole list"
                                        : ", waits up to " + Unit.TIME.text(waitNanos) + " s"));
    }

    @Override
    public void discoveryCallEnded(String sidecar, long callId, boolean answered) {
        note(
                LIST,
                sidecar,
                -callId,
                () -> "call " + callId + " of " + sidecar + (answered ? " is answered" : " fails"));
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        note(SIDECAR, sidecar, life, () -> sidecar + " starts, life " + life);
    }

    @Override
    public void sidecarReady(String sidecar, int life) {
        note(SIDECAR, sidecar, life, () -> sidecar + " is ready");
    }

    @Override
    public void sidecarKilled(String sidecar, int life) {
        note(SIDECAR, sidecar, life, () -> sidecar + " is killed");
    }

    @Override
    public void sidecarSigterm(String sidecar, int life) {
        note(SIDECAR, sidecar, life, () -> sidecar + " gets SIGTERM");
    }

    @Override
    public void sidecarSighup(String sidecar, int life) {
        note(SIDECAR, sidecar, life, () -> sidecar + " gets SIGHUP");
    }

    @Override
    public void sidecarExited(String sidecar, int life, int status) {
        note(SIDECAR, sidecar, status, () -> sidecar + " exits with status " + status);
    }

    @Override
    public void sidecarPaused(String sidecar, long from, long until) {
        note(
                SIDECAR,
                sidecar,
                until,
                () -> sidecar + " is paused for " + Unit.TIME.text(until - from) + " s");
    }

    @Override
    public void moduleStartedAttempt(String sidecar, int life, long moduleId, String server) {
        note(
                MODULE,
                server,
                moduleId,
                () -> sidecar + "'s module sends request " + moduleId + " to " + server);
    }

    @Override
    public void moduleRefused(String sidecar, int life, long moduleId) {
        note(MODULE, sidecar, moduleId, () -> sidecar + "'s module rejects request " + moduleId);
    }

    @Override
    public void moduleFailed(String sidecar, int life, long moduleId) {
        note(MODULE, sidecar, -moduleId, () -> sidecar + "'s module fails request " + moduleId);
    }

    @Override
    public void moduleOutcome(
            String sidecar, int life, long moduleId, int attempt, String outcome, boolean ended) {
        note(
                MODULE,
                outcome,
                moduleId,
                () ->
                        sidecar
                                + "'s module reports for request "
                                + moduleId
                                + ": attempt "
                                + attempt
                                + " "
                                + outcome);
    }

    @Override
    public void faultTriggered(String kind, String at, String id) {
        note(
                FAULT,
                kind,
                0,
                () ->
                        "FAULT "
                                + kind
                                + (at == null ? "" : " at " + at)
                                + (id == null ? "" : " for " + id));
    }

    @Override
    public void faultArmed(String kind, String at) {
        note(
                FAULT,
                kind,
                1,
                () ->
                        "FAULT "
                                + kind
                                + (at == null ? "" : " at " + at)
                                + " for the requests that it affects");
    }

    @Override
    public void faultHit(String what, String id, RequestState state) {
        note(FAULT, what, 2, () -> what + " affects " + id + ", " + FaultKind.word(state));
    }

    @Override
    public void lastFaultEnded() {
        note(DAY, null, 1, () -> "the last fault has ended");
    }

    @Override
    public void dayEnded() {
        note(DAY, null, 2, () -> "the day ends");
    }
}
