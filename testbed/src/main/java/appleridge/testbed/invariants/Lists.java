package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What each sidecar has been told of the servers. What discovery has written into a connection is
 * told; what it had to tell also counts as told though it did not arrive:
 *
 * <ul>
 *   <li>6 s after a call that doesn't wait, and 2 s after the wait of one that does, unless
 *       discovery has answered the call or failed it; with a later call that is out then, if there
 *       is one;
 *   <li>4 s after SIGHUP; a call that is out then and is due later goes with the old discovery;
 *   <li>to a sidecar without a call for as long as it may be, what was known that long ago.
 * </ul>
 *
 * Where discovery could not be reached meanwhile, it all counts 6 s after it can be again at the
 * earliest. A new process begins anew.
 */
final class Lists implements DayListener {
    private static final class Call {
        private final long from;

        /** What is known by then is its answer. */
        private final long horizon;

        private final long due;

        Call(long from, long horizon, long due) {
            this.from = from;
            this.horizon = horizon;
            this.due = due;
        }
    }

    private static final class Client {
        private final List<DeliveredUpdates> lives = new ArrayList<>(2);
        private final Map<Long, Call> calls = new HashMap<>();
        private final List<long[]> unreachable = new ArrayList<>(1);

        /** Since when no call is out. */
        private long silentSince;

        private DeliveredUpdates told() {
            return lives.get(lives.size() - 1);
        }
    }

    private final InvariantBounds figures;
    private final Alarms alarms;
    private final DiscoveryHistory knowledge = new DiscoveryHistory();
    private final Map<String, Client> clients = new HashMap<>();
    private final List<Client> inOrder = new ArrayList<>();

    /** Whether discovery is asked at all; who is not supposed to ask has nothing to hear. */
    private boolean asked = true;

    /** What nodes told is not in these books. */
    private boolean nodes;

    Lists(InvariantBounds figures, Alarms alarms) {
        this.figures = figures;
        this.alarms = alarms;
    }

    /**
     * Since when the sidecar, at a moment, had been told that a server drains or is gone; or never.
     */
    long drainsSince(String sidecar, String server, long moment) {
        DeliveredUpdates told = at(client(sidecar), moment);
        return told == null ? AttemptRecord.NEVER : told.drainsSince(server, moment);
    }

    /** When the sidecar's process of a moment was told of a server's start, or never. */
    long toldOfStart(String sidecar, String server, long bornAt, long moment) {
        DeliveredUpdates told = at(client(sidecar), moment);
        return told == null ? AttemptRecord.NEVER : told.toldOfStart(server, bornAt);
    }

    /** Whether the sidecar, at a moment, may have gone by a list with a ready server in it. */
    boolean mayHaveReady(String sidecar, long moment) {
        DeliveredUpdates told = at(client(sidecar), moment);
        return nodes
                || told != null
                        && told.mayHaveReady(moment - figures.drainGrace() - figures.socketSlack());
    }

    /** Since when the sidecar, at a moment, had been told that a server is ready; or never. */
    long readySince(String sidecar, String server, long moment) {
        DeliveredUpdates told = at(client(sidecar), moment);
        return told == null ? AttemptRecord.NEVER : told.readySince(server, moment);
    }

    /** The start of a server that it was told of last; 0 for long ago. */
    long lastStart(String sidecar, String server, long moment) {
        DeliveredUpdates told = at(client(sidecar), moment);
        return told == null ? 0 : told.lastStart(server);
    }

    private static DeliveredUpdates at(Client client, long moment) {
        for (int i = client.lives.size() - 1; i >= 0; i--) {
            if (client.lives.get(i).since() <= moment) {
                return client.lives.get(i);
            }
        }
        return null;
    }

    private Client client(String sidecar) {
        Client known = clients.get(sidecar);
        if (known == null) {
            known = new Client();
            known.lives.add(new DeliveredUpdates(knowledge, 0));
            clients.put(sidecar, known);
            inOrder.add(known);
        }
        return known;
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        Client client = client(sidecar);
        client.lives.add(new DeliveredUpdates(knowledge, alarms.now()));
        client.calls.clear();
        silent(client);
    }

    @Override
    public void sidecarKilled(String sidecar, int life) {
        client(sidecar).calls.clear();
    }

    @Override
    public void sidecarExited(String sidecar, int life, int status) {
        client(sidecar).calls.clear();
    }

    @Override
    public void discoverySources(boolean registry, boolean fromNodes) {
        asked = registry;
        nodes = fromNodes;
    }

    @Override
    public void discoveryChanged(long revision, String uid, int life, String state, long bornAt) {
        if (!asked) {
            return;
        }
        knowledge.add(new DiscoveryHistory.Entry(alarms.now(), uid, state, bornAt));
        for (Client each : inOrder) {
            DeliveredUpdates told = each.told();
            alarms.at(alarms.now() + figures.askWithin(), () -> lookAtSilence(each, told));
        }
    }

    @Override
    public void listDelivered(String sidecar, String uid, String state, long bornAt) {
        client(sidecar).told().told(alarms.now(), uid, state, bornAt);
    }

    @Override
    public void listNotDelivered(String sidecar, long at) {
        client(sidecar).told().untold(at);
    }

    @Override
    public void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {
        long now = alarms.now();
        Client client = client(sidecar);
        Call call =
                waitNanos > 0
                        ? new Call(now, now + waitNanos, now + waitNanos + figures.waitTold())
                        : new Call(now, now, now + figures.answerTold());
        client.calls.put(callId, call);
        DeliveredUpdates told = client.told();
        alarms.at(call.due, () -> count(client, told, callId, call));
    }

    /** The call is due, or it turns out that it is due later. */
    private void count(Client client, DeliveredUpdates told, long callId, Call call) {
        if (client.told() != told || client.calls.get(callId) != call) {
            return;
        }
        long due = shifted(client, call.from, call.due);
        for (Call later : client.calls.values()) {
            // It has asked again, and what this one was to tell is told with the answer to that.
            due = later.from > call.from ? Math.max(due, later.due) : due;
        }
        if (due > alarms.now()) {
            alarms.at(due, () -> count(client, told, callId, call));
            return;
        }
        told.countUpTo(call.horizon, alarms.now());
        client.calls.remove(callId);
        if (client.calls.isEmpty()) {
            silent(client);
        }
    }

    /** When something is due that discovery could not be asked for meanwhile. */
    private long shifted(Client client, long from, long due) {
        long end = due;
        for (long[] each : client.unreachable) {
            if (each[0] < end && each[1] > from) {
                end = Math.max(end, TimeSpans.plus(each[1], figures.answerTold()));
            }
        }
        return end;
    }

    @Override
    public void discoveryCallEnded(String sidecar, long callId, boolean answered) {
        Client client = client(sidecar);
        if (client.calls.remove(callId) != null) {
            if (client.calls.isEmpty()) {
                silent(client);
            }
        }
    }

    private void silent(Client client) {
        client.silentSince = alarms.now();
        DeliveredUpdates told = client.told();
        alarms.at(alarms.now() + figures.askWithin(), () -> lookAtSilence(client, told));
    }

    private void lookAtSilence(Client client, DeliveredUpdates told) {
        if (client.told() != told || !client.calls.isEmpty()) {
            return;
        }
        long now = alarms.now();
        long due = shifted(client, client.silentSince, client.silentSince + figures.askWithin());
        if (due > now) {
            alarms.at(due, () -> lookAtSilence(client, told));
        } else {
            told.countUpTo(now - figures.askWithin(), now);
        }
    }

    @Override
    public void sidecarSighup(String sidecar, int life) {
        Client client = client(sidecar);
        long now = alarms.now();
        long due = now + figures.hupTold();
        client.calls.values().removeIf(each -> each.due > due);
        if (client.calls.isEmpty()) {
            silent(client);
        }
        DeliveredUpdates told = client.told();
        alarms.at(due, () -> countAfterHup(client, told, now, due));
    }

    private void countAfterHup(Client client, DeliveredUpdates told, long hupAt, long due) {
        if (client.told() != told) {
            return;
        }
        long shifted = shifted(client, hupAt, due);
        if (shifted > alarms.now()) {
            alarms.at(shifted, () -> countAfterHup(client, told, hupAt, due));
        } else {
            told.countUpTo(hupAt, alarms.now());
        }
    }

    /**
     * Who stood still could not ask; what it has missed is due as for a call that it makes right
     * after.
     */
    @Override
    public void sidecarPaused(String sidecar, long from, long until) {
        client(sidecar)
                .unreachable
                .add(
                        new long[] {
                            from, Math.max(from, until - figures.answerTold() + figures.waitTold())
                        });
    }

    @Override
    public void discoveryUnreachable(String sidecar, long from, long until) {
        client(sidecar).unreachable.add(new long[] {from, until});
    }
}
