package appleridge.testbed.invariants;

import java.util.List;
import java.util.Map;

/** Passes all it is told on to several listeners, in their order. */
public class EvidenceFanOut implements Evidence {
    private final Evidence[] listeners;

    public EvidenceFanOut(List<? extends Evidence> listeners) {
        this.listeners = listeners.toArray(new Evidence[0]);
    }

    /** Called ahead of each event. */
    protected void before() {}

    @Override
    public final void asks(ClientAttempt asking) {
        before();
        for (Evidence each : listeners) {
            each.asks(asking);
        }
    }

    @Override
    public final void writes(String id, Message message) {
        before();
        for (Evidence each : listeners) {
            each.writes(id, message);
        }
    }

    @Override
    public final void reads(
            String server,
            String sidecar,
            String id,
            Message message,
            long deadlineNanos,
            long firstByteSentAt) {
        before();
        for (Evidence each : listeners) {
            each.reads(server, sidecar, id, message, deadlineNanos, firstByteSentAt);
        }
    }

    @Override
    public final void asked(String id) {
        before();
        for (Evidence each : listeners) {
            each.asked(id);
        }
    }

    @Override
    public final void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        before();
        for (Evidence each : listeners) {
            each.answered(id, status, body, retryAfterNanos, lastByteSentAt);
        }
    }

    @Override
    public final void answerBroken(String id, String how, boolean begun) {
        before();
        for (Evidence each : listeners) {
            each.answerBroken(id, how, begun);
        }
    }

    @Override
    public final void gaveUp(String id) {
        before();
        for (Evidence each : listeners) {
            each.gaveUp(id);
        }
    }

    @Override
    public final void connectRefused(String sidecar, long begunAt) {
        before();
        for (Evidence each : listeners) {
            each.connectRefused(sidecar, begunAt);
        }
    }

    @Override
    public final void readiness(String sidecar, int status, long lastByteSentAt) {
        before();
        for (Evidence each : listeners) {
            each.readiness(sidecar, status, lastByteSentAt);
        }
    }

    @Override
    public final void listConnects(String sidecar, int open) {
        before();
        for (Evidence each : listeners) {
            each.listConnects(sidecar, open);
        }
    }

    @Override
    public final void badConnected(String name, long owedBy) {
        before();
        for (Evidence each : listeners) {
            each.badConnected(name, owedBy);
        }
    }

    @Override
    public final void badEnded(String name, int statusOr0) {
        before();
        for (Evidence each : listeners) {
            each.badEnded(name, statusOr0);
        }
    }

    @Override
    public final void arrived(
            String server,
            int life,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        before();
        for (Evidence each : listeners) {
            each.arrived(server, life, sidecar, id, firstByteSentAt, lastByteSentAt, work);
        }
    }

    @Override
    public final void begun(
            String server, int life, String sidecar, String id, long firstByteSentAt) {
        before();
        for (Evidence each : listeners) {
            each.begun(server, life, sidecar, id, firstByteSentAt);
        }
    }

    @Override
    public final void saysNotRun(String server, int life, String id) {
        before();
        for (Evidence each : listeners) {
            each.saysNotRun(server, life, id);
        }
    }

    @Override
    public final void made(String server, int life, String id, String body) {
        before();
        for (Evidence each : listeners) {
            each.made(server, life, id, body);
        }
    }

    @Override
    public final void serverState(String server, int life, String state, long bornAt) {
        before();
        for (Evidence each : listeners) {
            each.serverState(server, life, state, bornAt);
        }
    }

    @Override
    public final void fellOver(String server, int life, Map<String, Double> workBySidecarInWindow) {
        before();
        for (Evidence each : listeners) {
            each.fellOver(server, life, workBySidecarInWindow);
        }
    }

    @Override
    public final void listKnows(long revision, String uid, int life, String state, long bornAt) {
        before();
        for (Evidence each : listeners) {
            each.listKnows(revision, uid, life, state, bornAt);
        }
    }

    @Override
    public final void listUntold(String sidecar, long at) {
        before();
        for (Evidence each : listeners) {
            each.listUntold(sidecar, at);
        }
    }

    @Override
    public final void listTold(String sidecar, String uid, String state, long bornAt) {
        before();
        for (Evidence each : listeners) {
            each.listTold(sidecar, uid, state, bornAt);
        }
    }

    @Override
    public final void listCall(String sidecar, long callId, boolean whole, long waitNanos) {
        before();
        for (Evidence each : listeners) {
            each.listCall(sidecar, callId, whole, waitNanos);
        }
    }

    @Override
    public final void listCallEnded(String sidecar, long callId, boolean answered) {
        before();
        for (Evidence each : listeners) {
            each.listCallEnded(sidecar, callId, answered);
        }
    }

    @Override
    public final void sidecarStarted(String sidecar, int life) {
        before();
        for (Evidence each : listeners) {
            each.sidecarStarted(sidecar, life);
        }
    }

    @Override
    public final void sidecarReady(String sidecar, int life) {
        before();
        for (Evidence each : listeners) {
            each.sidecarReady(sidecar, life);
        }
    }

    @Override
    public final void sidecarKilled(String sidecar, int life) {
        before();
        for (Evidence each : listeners) {
            each.sidecarKilled(sidecar, life);
        }
    }

    @Override
    public final void sidecarTerm(String sidecar, int life) {
        before();
        for (Evidence each : listeners) {
            each.sidecarTerm(sidecar, life);
        }
    }

    @Override
    public final void sidecarHup(String sidecar, int life) {
        before();
        for (Evidence each : listeners) {
            each.sidecarHup(sidecar, life);
        }
    }

    @Override
    public final void sidecarExited(String sidecar, int life, int status) {
        before();
        for (Evidence each : listeners) {
            each.sidecarExited(sidecar, life, status);
        }
    }

    @Override
    public final void sidecarPaused(String sidecar, long from, long until) {
        before();
        for (Evidence each : listeners) {
            each.sidecarPaused(sidecar, from, until);
        }
    }

    @Override
    public final void moduleTook(String sidecar, int life, long moduleId, long key) {
        before();
        for (Evidence each : listeners) {
            each.moduleTook(sidecar, life, moduleId, key);
        }
    }

    @Override
    public final void moduleHears(
            String sidecar, long key, int requestClass, int tenant, boolean clientRetry) {
        before();
        for (Evidence each : listeners) {
            each.moduleHears(sidecar, key, requestClass, tenant, clientRetry);
        }
    }

    @Override
    public final void moduleSends(String sidecar, int life, long moduleId, String server) {
        before();
        for (Evidence each : listeners) {
            each.moduleSends(sidecar, life, moduleId, server);
        }
    }

    @Override
    public final void moduleRefuses(String sidecar, int life, long moduleId) {
        before();
        for (Evidence each : listeners) {
            each.moduleRefuses(sidecar, life, moduleId);
        }
    }

    @Override
    public final void moduleFails(String sidecar, int life, long moduleId) {
        before();
        for (Evidence each : listeners) {
            each.moduleFails(sidecar, life, moduleId);
        }
    }

    @Override
    public final void moduleOutcome(
            String sidecar, int life, long moduleId, int attempt, String outcome, boolean ended) {
        before();
        for (Evidence each : listeners) {
            each.moduleOutcome(sidecar, life, moduleId, attempt, outcome, ended);
        }
    }

    @Override
    public final void fault(String kind, String at, String id) {
        before();
        for (Evidence each : listeners) {
            each.fault(kind, at, id);
        }
    }

    @Override
    public final void clientLinkTroubled(String sidecar, String id, long from, long until) {
        before();
        for (Evidence each : listeners) {
            each.clientLinkTroubled(sidecar, id, from, until);
        }
    }

    @Override
    public final void discoveryUnreachable(String sidecar, long from, long until) {
        before();
        for (Evidence each : listeners) {
            each.discoveryUnreachable(sidecar, from, until);
        }
    }

    @Override
    public final void badHides(String name, String id) {
        before();
        for (Evidence each : listeners) {
            each.badHides(name, id);
        }
    }

    @Override
    public final void badTakesId(String name, String id, String owner) {
        before();
        for (Evidence each : listeners) {
            each.badTakesId(name, id, owner);
        }
    }

    @Override
    public final void listedBy(boolean registry, boolean nodes) {
        before();
        for (Evidence each : listeners) {
            each.listedBy(registry, nodes);
        }
    }

    @Override
    public final void faultSet(String kind, String at) {
        before();
        for (Evidence each : listeners) {
            each.faultSet(kind, at);
        }
    }

    @Override
    public final void nodeTold(String sidecar, String uid, String state, long bornAt) {
        before();
        for (Evidence each : listeners) {
            each.nodeTold(sidecar, uid, state, bornAt);
        }
    }

    @Override
    public final void meets(String what, String id, RequestState state) {
        before();
        for (Evidence each : listeners) {
            each.meets(what, id, state);
        }
    }

    @Override
    public final void moduleListed(
            String sidecar, int life, String uid, boolean ready, long startedAt) {
        before();
        for (Evidence each : listeners) {
            each.moduleListed(sidecar, life, uid, ready, startedAt);
        }
    }

    @Override
    public final void lastFaultOver() {
        before();
        for (Evidence each : listeners) {
            each.lastFaultOver();
        }
    }

    @Override
    public final void dayEnds() {
        before();
        for (Evidence each : listeners) {
            each.dayEnds();
        }
    }
}
