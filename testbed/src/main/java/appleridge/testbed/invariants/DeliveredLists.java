package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks what the registry has delivered to each sidecar about the servers.
 *
 * <p>What discovery has written into a connection counts as delivered. What it had to deliver also
 * counts as delivered, although it did not arrive:
 *
 * <ul>
 *   <li>6 s after a call that does not wait, and 2 s after the wait of one that does, unless
 *       discovery has answered or failed the call; if a later call is pending then, together with
 *       that call;
 *   <li>4 s after SIGHUP; a pending call that is due later belongs to the old discovery client and
 *       is dropped;
 *   <li>to a sidecar without a call for {@code askWithin}: everything known that long ago;
 *   <li>where lists are pushed: all that the agent has, at once and from the first moment of a
 *       process. During an outage the agent learns nothing.
 * </ul>
 *
 * <p>If discovery was unreachable meanwhile, all of this counts 6 s after it is reachable again at
 * the earliest. A new process starts with nothing delivered.
 */
final class DeliveredLists implements DayListener {
    private static final class Call {
        private final long from;

        /** Entries known by this time belong to the call's answer. */
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

        /** When its agent answered nothing, and learned nothing; used if lists are pushed. */
        private final List<long[]> outages = new ArrayList<>(1);

        /** Until then nothing more counts, because the agent has another address. */
        private long reloadingUntil;

        /** Since when no call is pending. */
        private long silentSince;

        private DeliveredUpdates current() {
            return incarnations.get(incarnations.size() - 1);
        }
    }

    private final InvariantBounds bounds;
    private final ScheduledChecks checks;
    private final DiscoveryHistory history = new DiscoveryHistory();
    private final Map<String, DiscoveryClient> clients = new HashMap<>();
    private final List<DiscoveryClient> clientsInOrder = new ArrayList<>();

    /**
     * Whether the registry is used at all; a sidecar that is not supposed to call it misses
     * nothing.
     */
    private boolean usesRegistry = true;

    /** Whether the coordination service also lists servers; its updates are not tracked here. */
    private boolean usesNodes;

    /** Whether what a sidecar's agent has counts as delivered. */
    private boolean pushed;

    DeliveredLists(InvariantBounds bounds, ScheduledChecks checks) {
        this.bounds = bounds;
        this.checks = checks;
    }

    /**
     * Returns since when, as of {@code moment}, the sidecar has been told that a server is draining
     * or gone; or NEVER.
     */
    long drainingSince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return updates == null ? AttemptRecord.NEVER : updates.drainingSince(server, moment);
    }

    /**
     * Returns when the process that ran at {@code moment} was told of a server's start; or NEVER.
     */
    long startDeliveredAt(String sidecar, String server, long bornAt, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return updates == null ? AttemptRecord.NEVER : updates.startDeliveredAt(server, bornAt);
    }

    /** Returns whether the sidecar may have used a list with a ready server at {@code moment}. */
    boolean mayListReady(String sidecar, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return usesNodes
                || updates != null
                        && updates.mayListReady(
                                moment - bounds.drainGrace() - bounds.socketSlack());
    }

    /**
     * Returns since when, as of {@code moment}, the sidecar has been told that a server is ready;
     * or NEVER.
     */
    long readySince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(client(sidecar), moment);
        return updates == null ? AttemptRecord.NEVER : updates.readySince(server, moment);
    }

    /** Returns the latest start of a server that was delivered; 0 for long ago. */
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
            clientsInOrder.add(client);
        }
        return client;
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        DiscoveryClient client = client(sidecar);
        client.incarnations.add(new DeliveredUpdates(history, checks.now()));
        client.calls.clear();
        client.reloadingUntil = 0;
        startSilence(client);
        countPushed(client);
    }

    /** Counts as delivered what the agent has now, and once it learns more, what it has then. */
    private void countPushed(DiscoveryClient client) {
        if (!pushed) {
            return;
        }
        long now = checks.now();
        DeliveredUpdates updates = client.current();
        if (now < client.reloadingUntil) {
            checks.at(client.reloadingUntil, () -> countPushedTo(client, updates));
            return;
        }
        long[] outage = outageAt(client, now);
        long learnedUntil = outage[0];
        long outageEnd = outage[1];
        updates.countUpTo(learnedUntil, now);
        if (outageEnd > now) {
            checks.at(outageEnd, () -> countPushedTo(client, updates));
        }
    }

    /** Returns the start and end of the outages that follow each other up to now, if any. */
    private static long[] outageAt(DiscoveryClient client, long now) {
        long[] whole = {now, now};
        boolean extended = true;
        while (extended) {
            extended = false;
            for (long[] each : client.outages) {
                boolean meets = each[0] <= whole[1] && whole[0] <= each[1] && each[1] > now;
                boolean before = each[0] < whole[0] && whole[0] <= each[1] && whole[0] < now;
                if ((meets || before) && (each[0] < whole[0] || each[1] > whole[1])) {
                    whole[0] = Math.min(whole[0], each[0]);
                    whole[1] = Math.max(whole[1], each[1]);
                    extended = true;
                }
            }
        }
        return whole;
    }

    private void countPushedTo(DiscoveryClient client, DeliveredUpdates updates) {
        if (client.current() == updates) {
            countPushed(client);
        }
    }

    @Override
    public void listsPushed() {
        pushed = true;
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
        for (DiscoveryClient each : clientsInOrder) {
            DeliveredUpdates updates = each.current();
            checks.at(checks.now() + bounds.askWithin(), () -> checkSilence(each, updates));
            countPushed(each);
        }
    }

    @Override
    public void listDelivered(String sidecar, String uid, String state, long bornAt) {
        client(sidecar).current().delivered(checks.now(), uid, state, bornAt, pushed);
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

    /** Counts the call's answer as delivered, or reschedules if it is due later by now. */
    private void countAnswer(
            DiscoveryClient client, DeliveredUpdates updates, long callId, Call call) {
        if (client.current() != updates || client.calls.get(callId) != call) {
            return;
        }
        long due = postponed(client, call.from, call.due);
        for (Call later : client.calls.values()) {
            // The sidecar has called again; the answer to that call covers what this one missed.
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

    /** Returns {@code due}, postponed past the spans in which discovery was unreachable. */
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
        client.reloadingUntil = due;
        countPushed(client);
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
     * A paused process could not call; what it missed is due as if it called right after the pause.
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
        client(sidecar).outages.add(new long[] {from, until});
    }
}
