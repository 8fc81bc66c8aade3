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
final class DeliveredLists implements DayListener {
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

    private static final class DiscoveryClient {
        private final List<DeliveredUpdates> incarnations = new ArrayList<>(2);
        private final Map<Long, Call> calls = new HashMap<>();
        private final List<long[]> unreachable = new ArrayList<>(1);

        /** Since when no call is out. */
        private long silentSince;

        private DeliveredUpdates current() {
            return incarnations.get(incarnations.size() - 1);
        }
    }

    private final InvariantBounds bounds;
    private final ScheduledChecks checks;
    private final DiscoveryHistory history = new DiscoveryHistory();
    private final Map<String, DiscoveryClient> clients = new HashMap<>();
    private final List<DiscoveryClient> inOrder = new ArrayList<>();

    /** Whether discovery is asked at all; who is not supposed to ask has nothing to hear. */
    private boolean usesRegistry = true;

    /** What nodes told is not in these books. */
    private boolean usesNodes;

    DeliveredLists(InvariantBounds bounds, ScheduledChecks checks) {
        this.bounds = bounds;
        this.checks = checks;
    }

    /**
     * Since when the sidecar, at a moment, had been told that a server drains or is gone; or never.
     */
    long drainingSince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return updates == null ? AttemptRecord.NEVER : updates.drainingSince(server, moment);
    }

    /** When the sidecar's process of a moment was told of a server's start, or never. */
    long startDeliveredAt(String sidecar, String server, long bornAt, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return updates == null ? AttemptRecord.NEVER : updates.startDeliveredAt(server, bornAt);
    }

    /** Whether the sidecar, at a moment, may have gone by a list with a ready server in it. */
    boolean mayListReady(String sidecar, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return usesNodes
                || updates != null
                        && updates.mayListReady(
                                moment - bounds.drainGrace() - bounds.socketSlack());
    }

    /** Since when the sidecar, at a moment, had been told that a server is ready; or never. */
    long readySince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return updates == null ? AttemptRecord.NEVER : updates.readySince(server, moment);
    }

    /** The start of a server that it was told of last; 0 for long ago. */
    long latestStart(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return updates == null ? 0 : updates.latestStart(server);
    }

    private static DeliveredUpdates at(DiscoveryClient client, long moment) {
        for (int i = client.incarnations.size() - 1; i >= 0; i--) {
            if (client.incarnations.get(i).since() <= moment) {
                return client.incarnations.get(i);
            }
        }
        return null;
    }

    private DiscoveryClient client(String sidecar) {
        DiscoveryClient client = clients.get(sidecar);
        if (client == null) {
            client = new DiscoveryClient();
            client.incarnations.add(new DeliveredUpdates(history, 0));
            clients.put(sidecar, client);
            inOrder.add(client);
        }
        return client;
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        DiscoveryClient client = client(sidecar);
        client.incarnations.add(new DeliveredUpdates(history, checks.now()));
        client.calls.clear();
        startSilence(client);
    }

    @Override
    public void sidecarKilled(String sidecar, int incarnation) {
        client(sidecar).calls.clear();
    }

    @Override
    public void sidecarExited(String sidecar, int incarnation, int status) {
        client(sidecar).calls.clear();
    }

    @Override
    public void discoverySources(boolean registry, boolean fromNodes) {
        usesRegistry = registry;
        usesNodes = fromNodes;
    }

    @Override
    public void discoveryChanged(
            long revision, String uid, int incarnation, String state, long bornAt) {
        if (!usesRegistry) {
            return;
        }
        history.add(new DiscoveryHistory.Entry(checks.now(), uid, state, bornAt));
        for (DiscoveryClient each : inOrder) {
            DeliveredUpdates updates = each.current();
            checks.at(checks.now() + bounds.askWithin(), () -> checkSilence(each, updates));
        }
    }

    @Override
    public void listDelivered(String sidecar, String uid, String state, long bornAt) {
        client(sidecar).current().delivered(checks.now(), uid, state, bornAt);
    }

    @Override
    public void listNotDelivered(String sidecar, long at) {
        client(sidecar).current().withdraw(at);
    }

    @Override
    public void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {
        long now = checks.now();
        DiscoveryClient client = client(sidecar);
        Call call =
                waitNanos > 0
                        ? new Call(
                                now, now + waitNanos, now + waitNanos + bounds.watchDeliveryLimit())
                        : new Call(now, now, now + bounds.callDeliveryLimit());
        client.calls.put(callId, call);
        DeliveredUpdates updates = client.current();
        checks.at(call.due, () -> countAnswer(client, updates, callId, call));
    }

    /** The call is due, or it turns out that it is due later. */
    private void countAnswer(
            DiscoveryClient client, DeliveredUpdates updates, long callId, Call call) {
        if (client.current() != updates || client.calls.get(callId) != call) {
            return;
        }
        long due = postponed(client, call.from, call.due);
        for (Call later : client.calls.values()) {
            // It has asked again, and what this one was to tell is told with the answer to that.
            due = later.from > call.from ? Math.max(due, later.due) : due;
        }
        if (due > checks.now()) {
            checks.at(due, () -> countAnswer(client, updates, callId, call));
            return;
        }
        updates.countUpTo(call.horizon, checks.now());
        client.calls.remove(callId);
        if (client.calls.isEmpty()) {
            startSilence(client);
        }
    }

    /** When something is due that discovery could not be asked for meanwhile. */
    private long postponed(DiscoveryClient client, long from, long due) {
        long end = due;
        for (long[] each : client.unreachable) {
            if (each[0] < end && each[1] > from) {
                end = Math.max(end, TimeSpans.saturatedAdd(each[1], bounds.callDeliveryLimit()));
            }
        }
        return end;
    }

    @Override
    public void discoveryCallEnded(String sidecar, long callId, boolean answered) {
        DiscoveryClient client = client(sidecar);
        if (client.calls.remove(callId) != null) {
            if (client.calls.isEmpty()) {
                startSilence(client);
            }
        }
    }

    private void startSilence(DiscoveryClient client) {
        client.silentSince = checks.now();
        DeliveredUpdates updates = client.current();
        checks.at(checks.now() + bounds.askWithin(), () -> checkSilence(client, updates));
    }

    private void checkSilence(DiscoveryClient client, DeliveredUpdates updates) {
        if (client.current() != updates || !client.calls.isEmpty()) {
            return;
        }
        long now = checks.now();
        long due = postponed(client, client.silentSince, client.silentSince + bounds.askWithin());
        if (due > now) {
            checks.at(due, () -> checkSilence(client, updates));
        } else {
            updates.countUpTo(now - bounds.askWithin(), now);
        }
    }

    @Override
    public void sidecarSighup(String sidecar, int incarnation) {
        DiscoveryClient client = client(sidecar);
        long now = checks.now();
        long due = now + bounds.reloadDeliveryLimit();
        client.calls.values().removeIf(each -> each.due > due);
        if (client.calls.isEmpty()) {
            startSilence(client);
        }
        DeliveredUpdates updates = client.current();
        checks.at(due, () -> countAfterReload(client, updates, now, due));
    }

    private void countAfterReload(
            DiscoveryClient client, DeliveredUpdates updates, long hupAt, long due) {
        if (client.current() != updates) {
            return;
        }
        long postponed = postponed(client, hupAt, due);
        if (postponed > checks.now()) {
            checks.at(postponed, () -> countAfterReload(client, updates, hupAt, due));
        } else {
            updates.countUpTo(hupAt, checks.now());
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
                            from,
                            Math.max(
                                    from,
                                    until
                                            - bounds.callDeliveryLimit()
                                            + bounds.watchDeliveryLimit())
                        });
    }

    @Override
    public void discoveryUnreachable(String sidecar, long from, long until) {
        client(sidecar).unreachable.add(new long[] {from, until});
    }
}
