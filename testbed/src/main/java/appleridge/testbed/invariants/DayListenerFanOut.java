package appleridge.testbed.invariants;

import java.util.List;
import java.util.Map;

/** Forwards every event to several listeners in order. */
public class DayListenerFanOut implements DayListener {
    private final DayListener[] listeners;

    public DayListenerFanOut(List<? extends DayListener> listeners) {
        this.listeners = listeners.toArray(new DayListener[0]);
    }

    /** Called before each event is forwarded. */
    protected void before() {}

    @Override
    public final void requestStarted(ClientAttempt attempt) {
        before();
        for (DayListener each : listeners) {
            each.requestStarted(attempt);
        }
    }

    @Override
    public final void requestMessage(String id, Message message) {
        before();
        for (DayListener each : listeners) {
            each.requestMessage(id, message);
        }
    }

    @Override
    public final void serverReadMessage(
            String server,
            String sidecar,
            String id,
            Message message,
            long deadlineNanos,
            long firstByteSentAt) {
        before();
        for (DayListener each : listeners) {
            each.serverReadMessage(server, sidecar, id, message, deadlineNanos, firstByteSentAt);
        }
    }

    @Override
    public final void requestSent(String id) {
        before();
        for (DayListener each : listeners) {
            each.requestSent(id);
        }
    }

    @Override
    public final void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        before();
        for (DayListener each : listeners) {
            each.answered(id, status, body, retryAfterNanos, lastByteSentAt);
        }
    }

    @Override
    public final void answerBroken(String id, String how, boolean begun) {
        before();
        for (DayListener each : listeners) {
            each.answerBroken(id, how, begun);
        }
    }

    @Override
    public final void clientGaveUp(String id) {
        before();
        for (DayListener each : listeners) {
            each.clientGaveUp(id);
        }
    }

    @Override
    public final void connectRefused(String sidecar, long begunAt) {
        before();
        for (DayListener each : listeners) {
            each.connectRefused(sidecar, begunAt);
        }
    }

    @Override
    public final void readinessAnswered(String sidecar, int status, long lastByteSentAt) {
        before();
        for (DayListener each : listeners) {
            each.readinessAnswered(sidecar, status, lastByteSentAt);
        }
    }

    @Override
    public final void discoveryConnecting(String sidecar, int open) {
        before();
        for (DayListener each : listeners) {
            each.discoveryConnecting(sidecar, open);
        }
    }

    @Override
    public final void badClientConnected(String name, long owedBy) {
        before();
        for (DayListener each : listeners) {
            each.badClientConnected(name, owedBy);
        }
    }

    @Override
    public final void badClientEnded(String name, int statusOr0) {
        before();
        for (DayListener each : listeners) {
            each.badClientEnded(name, statusOr0);
        }
    }

    @Override
    public final void serverReceived(
            String server,
            int incarnation,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        before();
        for (DayListener each : listeners) {
            each.serverReceived(
                    server, incarnation, sidecar, id, firstByteSentAt, lastByteSentAt, work);
        }
    }

    @Override
    public final void serverReadId(
            String server, int incarnation, String sidecar, String id, long firstByteSentAt) {
        before();
        for (DayListener each : listeners) {
            each.serverReadId(server, incarnation, sidecar, id, firstByteSentAt);
        }
    }

    @Override
    public final void serverDidNotRun(String server, int incarnation, String id) {
        before();
        for (DayListener each : listeners) {
            each.serverDidNotRun(server, incarnation, id);
        }
    }

    @Override
    public final void serverAnswered(String server, int incarnation, String id, String body) {
        before();
        for (DayListener each : listeners) {
            each.serverAnswered(server, incarnation, id, body);
        }
    }

    @Override
    public final void serverState(String server, int incarnation, String state, long bornAt) {
        before();
        for (DayListener each : listeners) {
            each.serverState(server, incarnation, state, bornAt);
        }
    }

    @Override
    public final void serverCollapsed(
            String server, int incarnation, Map<String, Double> workBySidecarInWindow) {
        before();
        for (DayListener each : listeners) {
            each.serverCollapsed(server, incarnation, workBySidecarInWindow);
        }
    }

    @Override
    public final void discoveryChanged(
            long revision, String uid, int incarnation, String state, long bornAt) {
        before();
        for (DayListener each : listeners) {
            each.discoveryChanged(revision, uid, incarnation, state, bornAt);
        }
    }

    @Override
    public final void listNotDelivered(String sidecar, long at) {
        before();
        for (DayListener each : listeners) {
            each.listNotDelivered(sidecar, at);
        }
    }

    @Override
    public final void listDelivered(String sidecar, String uid, String state, long bornAt) {
        before();
        for (DayListener each : listeners) {
            each.listDelivered(sidecar, uid, state, bornAt);
        }
    }

    @Override
    public final void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {
        before();
        for (DayListener each : listeners) {
            each.discoveryCall(sidecar, callId, whole, waitNanos);
        }
    }

    @Override
    public final void discoveryCallEnded(String sidecar, long callId, boolean answered) {
        before();
        for (DayListener each : listeners) {
            each.discoveryCallEnded(sidecar, callId, answered);
        }
    }

    @Override
    public final void sidecarStarted(String sidecar, int incarnation) {
        before();
        for (DayListener each : listeners) {
            each.sidecarStarted(sidecar, incarnation);
        }
    }

    @Override
    public final void sidecarReady(String sidecar, int incarnation) {
        before();
        for (DayListener each : listeners) {
            each.sidecarReady(sidecar, incarnation);
        }
    }

    @Override
    public final void sidecarKilled(String sidecar, int incarnation) {
        before();
        for (DayListener each : listeners) {
            each.sidecarKilled(sidecar, incarnation);
        }
    }

    @Override
    public final void sidecarSigterm(String sidecar, int incarnation) {
        before();
        for (DayListener each : listeners) {
            each.sidecarSigterm(sidecar, incarnation);
        }
    }

    @Override
    public final void sidecarSighup(String sidecar, int incarnation) {
        before();
        for (DayListener each : listeners) {
            each.sidecarSighup(sidecar, incarnation);
        }
    }

    @Override
    public final void sidecarExited(String sidecar, int incarnation, int status) {
        before();
        for (DayListener each : listeners) {
            each.sidecarExited(sidecar, incarnation, status);
        }
    }

    @Override
    public final void sidecarPaused(String sidecar, long from, long until) {
        before();
        for (DayListener each : listeners) {
            each.sidecarPaused(sidecar, from, until);
        }
    }

    @Override
    public final void moduleAccepted(String sidecar, int incarnation, long moduleId, long key) {
        before();
        for (DayListener each : listeners) {
            each.moduleAccepted(sidecar, incarnation, moduleId, key);
        }
    }

    @Override
    public final void moduleRequest(
            String sidecar, long key, int requestClass, int tenant, boolean clientRetry) {
        before();
        for (DayListener each : listeners) {
            each.moduleRequest(sidecar, key, requestClass, tenant, clientRetry);
        }
    }

    @Override
    public final void moduleStartedAttempt(
            String sidecar, int incarnation, long moduleId, String server) {
        before();
        for (DayListener each : listeners) {
            each.moduleStartedAttempt(sidecar, incarnation, moduleId, server);
        }
    }

    @Override
    public final void moduleRefused(String sidecar, int incarnation, long moduleId) {
        before();
        for (DayListener each : listeners) {
            each.moduleRefused(sidecar, incarnation, moduleId);
        }
    }

    @Override
    public final void moduleFailed(String sidecar, int incarnation, long moduleId) {
        before();
        for (DayListener each : listeners) {
            each.moduleFailed(sidecar, incarnation, moduleId);
        }
    }

    @Override
    public final void moduleRequestEnded(String sidecar, int incarnation, long moduleId) {
        before();
        for (DayListener each : listeners) {
            each.moduleRequestEnded(sidecar, incarnation, moduleId);
        }
    }

    @Override
    public final void moduleOutcome(
            String sidecar,
            int incarnation,
            long moduleId,
            int attempt,
            String outcome,
            boolean ended) {
        before();
        for (DayListener each : listeners) {
            each.moduleOutcome(sidecar, incarnation, moduleId, attempt, outcome, ended);
        }
    }

    @Override
    public final void faultTriggered(String kind, String at, String id) {
        before();
        for (DayListener each : listeners) {
            each.faultTriggered(kind, at, id);
        }
    }

    @Override
    public final void clientLinkTroubled(String sidecar, String id, long from, long until) {
        before();
        for (DayListener each : listeners) {
            each.clientLinkTroubled(sidecar, id, from, until);
        }
    }

    @Override
    public final void discoveryUnreachable(String sidecar, long from, long until) {
        before();
        for (DayListener each : listeners) {
            each.discoveryUnreachable(sidecar, from, until);
        }
    }

    @Override
    public final void badClientHidRequest(String name, String id) {
        before();
        for (DayListener each : listeners) {
            each.badClientHidRequest(name, id);
        }
    }

    @Override
    public final void badClientReusedId(String name, String id, String owner) {
        before();
        for (DayListener each : listeners) {
            each.badClientReusedId(name, id, owner);
        }
    }

    @Override
    public final void discoverySources(boolean registry, boolean nodes) {
        before();
        for (DayListener each : listeners) {
            each.discoverySources(registry, nodes);
        }
    }

    @Override
    public final void listsPushed() {
        before();
        for (DayListener each : listeners) {
            each.listsPushed();
        }
    }

    @Override
    public final void faultArmed(String kind, String at) {
        before();
        for (DayListener each : listeners) {
            each.faultArmed(kind, at);
        }
    }

    @Override
    public final void nodeDelivered(String sidecar, String uid, String state, long bornAt) {
        before();
        for (DayListener each : listeners) {
            each.nodeDelivered(sidecar, uid, state, bornAt);
        }
    }

    @Override
    public final void faultHit(String what, String id, RequestState state) {
        before();
        for (DayListener each : listeners) {
            each.faultHit(what, id, state);
        }
    }

    @Override
    public final void moduleHostUpdated(
            String sidecar, int incarnation, String uid, boolean ready, long startedAt) {
        before();
        for (DayListener each : listeners) {
            each.moduleHostUpdated(sidecar, incarnation, uid, ready, startedAt);
        }
    }

    @Override
    public final void lastFaultEnded() {
        before();
        for (DayListener each : listeners) {
            each.lastFaultEnded();
        }
    }

    @Override
    public final void dayEnded() {
        before();
        for (DayListener each : listeners) {
            each.dayEnded();
        }
    }
}
