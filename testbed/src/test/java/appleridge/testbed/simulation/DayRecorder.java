package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ClientAttempt;
import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.invariants.Message;
import appleridge.testbed.invariants.RequestState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records the events of a day for tests. */
final class DayRecorder implements DayListener {
    final Map<String, ClientAttempt> asks = new LinkedHashMap<>();
    final Map<String, Message> written = new LinkedHashMap<>();
    final Map<String, Message> read = new LinkedHashMap<>();
    final Map<String, Long> deadlines = new LinkedHashMap<>();
    final List<String> asked = new ArrayList<>();
    final Map<String, Integer> answers = new LinkedHashMap<>();
    final Map<String, String> bodies = new LinkedHashMap<>();
    final Map<String, String> broken = new LinkedHashMap<>();
    final List<String> readiness = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<Integer> discoveryConnects = new ArrayList<>();
    final List<String> faultHits = new ArrayList<>();
    final List<String> gaveUp = new ArrayList<>();
    final Map<String, String> made = new LinkedHashMap<>();
    final List<String> arrived = new ArrayList<>();
    final List<String> notRun = new ArrayList<>();
    final List<String> servers = new ArrayList<>();
    final List<String> delivered = new ArrayList<>();
    final List<String> notDelivered = new ArrayList<>();
    final List<String> listed = new ArrayList<>();
    final List<String> sidecars = new ArrayList<>();
    final Map<String, Long> badConnected = new LinkedHashMap<>();
    final Map<String, Integer> badEnded = new LinkedHashMap<>();
    final List<String> hidden = new ArrayList<>();
    final List<String> collapsed = new ArrayList<>();
    final TreeMap<String, Integer> faults = new TreeMap<>();
    boolean ended;

    @Override
    public void requestStarted(ClientAttempt attempt) {
        if (asks.put(attempt.id(), attempt) != null) {
            throw new AssertionError("request id used twice: " + attempt.id());
        }
    }

    @Override
    public void requestMessage(String id, Message message) {
        written.put(id, message);
    }

    @Override
    public void serverReadMessage(
            String server,
            String sidecar,
            String id,
            Message message,
            long deadlineNanos,
            long firstByteSentAt) {
        read.put(id, message);
        deadlines.put(id, deadlineNanos);
    }

    @Override
    public void requestSent(String id) {
        asked.add(id);
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        answers.put(id, status);
        bodies.put(id, body);
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        broken.put(id, how);
    }

    @Override
    public void readinessAnswered(String sidecar, int status, long lastByteSentAt) {
        readiness.add(sidecar + " " + status);
    }

    @Override
    public void connectRefused(String sidecar, long begunAt) {
        refused.add(sidecar);
    }

    @Override
    public void discoveryConnecting(String sidecar, int open) {
        discoveryConnects.add(open);
    }

    @Override
    public void faultHit(String what, String id, RequestState state) {
        faultHits.add(what + " " + FaultKind.word(state));
    }

    @Override
    public void clientGaveUp(String id) {
        gaveUp.add(id);
    }

    @Override
    public void serverAnswered(String server, int life, String id, String body) {
        made.put(body, id);
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
        if (firstByteSentAt > lastByteSentAt) {
            throw new AssertionError("first byte of " + id + " sent after its last byte");
        }
        arrived.add(id);
    }

    @Override
    public void serverDidNotRun(String server, int life, String id) {
        notRun.add(id);
    }

    @Override
    public void serverState(String server, int life, String state, long bornAt) {
        servers.add(server + " " + life + " " + state + (bornAt > 0 ? " born" : ""));
    }

    @Override
    public void serverCollapsed(
            String server, int life, Map<String, Double> workBySidecarInWindow) {
        collapsed.add(server);
    }

    @Override
    public void discoveryChanged(long revision, String uid, int life, String state, long bornAt) {
        listed.add(uid + " " + state);
    }

    @Override
    public void listDelivered(String sidecar, String uid, String state, long bornAt) {
        delivered.add(sidecar + " " + uid + " " + state);
    }

    @Override
    public void listNotDelivered(String sidecar, long at) {
        notDelivered.add(sidecar + " " + at / Site.MS + " ms");
    }

    @Override
    public void sidecarReady(String sidecar, int life) {
        sidecars.add(sidecar + " " + life + " ready");
    }

    @Override
    public void sidecarKilled(String sidecar, int life) {
        sidecars.add(sidecar + " " + life + " killed");
    }

    @Override
    public void sidecarExited(String sidecar, int life, int status) {
        sidecars.add(sidecar + " " + life + " exited " + status);
    }

    @Override
    public void sidecarSighup(String sidecar, int life) {
        sidecars.add(sidecar + " " + life + " hup");
    }

    @Override
    public void badClientConnected(String name, long owedBy) {
        badConnected.put(name, owedBy);
    }

    @Override
    public void badClientEnded(String name, int statusOr0) {
        badEnded.put(name, statusOr0);
    }

    @Override
    public void badClientHidRequest(String name, String id) {
        hidden.add(id);
    }

    @Override
    public void faultTriggered(String kind, String at, String id) {
        faults.merge(kind, 1, Integer::sum);
    }

    @Override
    public void dayEnded() {
        ended = true;
    }

    int served() {
        return (int) answers.values().stream().filter(status -> status == 200).count();
    }
}
