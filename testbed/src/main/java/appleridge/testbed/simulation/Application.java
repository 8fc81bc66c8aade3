package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The application next to one sidecar. Its clients reuse idle connections and open new ones when
 * all are busy. While its own sidecar is not usable they connect to another one that is ready.
 */
final class Application {

    /** A client drops its request when it has found no usable sidecar for this long. */
    private static final long MAX_SIDECAR_WAIT = 1500 * Site.MS;

    private static final long MIN_TIME_LEFT = 50 * Site.MS;
    private static final long SERIALS_PER_APPLICATION = 1L << 32;

    /**
     * Attempts of a request of which no byte has been sent, so that its deadline has not started.
     */
    private static final int MAX_UNSENT_ATTEMPTS = 20;

    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final Day day;
    private final int index;
    private final Host host;
    private final ProcessSlots slots;
    private final long[] meanWorks;
    private final SeededRandom chance;
    private final List<AppConnection> connections = new ArrayList<>();
    private final ArrayDeque<AppConnection> free = new ArrayDeque<>();
    private final ArrayDeque<RequestIntent> waiting = new ArrayDeque<>();
    private long intentCount;
    private long attemptCount;

    Application(Day day, int index, Host host, ProcessSlots slots, long[] meanWorks) {
        this.day = day;
        this.index = index;
        this.host = host;
        this.slots = slots;
        this.meanWorks = meanWorks;
        this.chance = day.work("app." + index);
        slots.onReady(this::serveWaiting);
    }

    Host host() {
        return host;
    }

    /** Starts a new request of a tenant. */
    void submit(int tenant) {
        long number = intentCount++;
        RequestIntent intent =
                new RequestIntent(
                        day,
                        "w" + index + "-" + number,
                        day.work("wish." + index + "." + number),
                        meanWorks,
                        tenant);
        send(intent);
    }

    private void send(RequestIntent intent) {
        if (intent.endsAt != 0 && intent.endsAt - day.now() < MIN_TIME_LEFT) {
            return;
        }
        AppConnection existing = freeOnDrainingSidecar();
        if (existing != null) {
            existing.send(
                    new PendingAttempt(
                            day, this, intent, index * SERIALS_PER_APPLICATION + ++attemptCount));
            return;
        }
        ProcessSlot slot = slots.choose(index, chance);
        if (slot == null) {
            await(intent);
            return;
        }
        AppConnection pipelined =
                intent.chance.hits(day.plan.part(ScenarioParameter.PIPELINED))
                        ? findPipelinable(slot, intent)
                        : null;
        AppConnection connection = pipelined != null ? pipelined : takeFree(slot);
        if (connection == null && slot.isFull() && !closeIdle(slot)) {
            await(intent);
            return;
        }
        PendingAttempt attempt =
                new PendingAttempt(
                        day, this, intent, index * SERIALS_PER_APPLICATION + ++attemptCount);
        if (connection != null) {
            connection.send(attempt);
            return;
        }
        AppConnection opened = new AppConnection(day, this, slot, attempt);
        if (opened.connect()) {
            connections.add(opened);
            slot.addConnections(1);
        } else {
            attempt.unsent();
        }
    }

    private void await(RequestIntent intent) {
        waiting.add(intent);
        day.after(MAX_SIDECAR_WAIT, () -> waiting.remove(intent));
    }

    private void serveWaiting() {
        for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
            send(waiting.poll());
        }
    }

    /**
     * Returns an idle connection to the own sidecar while that is running but takes no new
     * connections, or null. Existing connections stay in use as long as they are open.
     */
    private AppConnection freeOnDrainingSidecar() {
        ProcessSlot own = slots.all().get(index);
        return own.isRunning() && !own.isUsable() ? takeFree(own) : null;
    }

    private AppConnection takeFree(ProcessSlot slot) {
        for (AppConnection each : free) {
            if (each.slot() == slot && each.isFree()) {
                free.remove(each);
                return each;
            }
        }
        return null;
    }

    private AppConnection findPipelinable(ProcessSlot slot, RequestIntent intent) {
        if (intent.asksOnce || intent.slowReader) {
            return null;
        }
        long expiresAt = day.now() + (long) (intent.share * intent.deadline);
        for (AppConnection each : connections) {
            if (each.slot() == slot && each.canPipeline(expiresAt)) {
                return each;
            }
        }
        return null;
    }

    /** Closes a connection without open requests to make room; returns false if there is none. */
    private boolean closeIdle(ProcessSlot slot) {
        for (AppConnection each : connections) {
            if (each.slot() == slot && (each.isFree() || each.isKeptOnly())) {
                each.disconnect();
                return true;
            }
        }
        return false;
    }

    /** The connection has no open request any more. */
    void connectionFree(AppConnection connection) {
        free.push(connection);
        if (!waiting.isEmpty()) {
            serveWaiting();
        }
    }

    void connectionClosed(AppConnection connection) {
        if (connections.remove(connection)) {
            connection.slot().addConnections(-1);
        }
        free.remove(connection);
    }

    /** Drops waiting requests and closes all connections. */
    void closeAll() {
        waiting.clear();
        List.copyOf(connections).forEach(AppConnection::disconnect);
    }

    /**
     * An attempt has ended: decides whether and when the client retries.
     *
     * @param retryAfter nanoseconds; -1 if absent, {@link Long#MAX_VALUE} if unreadable
     */
    void ended(PendingAttempt attempt, PendingAttempt.Outcome outcome, long retryAfter) {
        RequestIntent intent = attempt.intent;
        switch (outcome) {
            case SERVED, GAVE_UP -> {}
            case UNSENT -> scheduleRetry(intent, backoff(intent));
            case CROSSED -> scheduleRetry(intent, 0);
            case REFUSED ->
                    retry(
                            intent,
                            honoursRetryAfter(intent, retryAfter) ? retryAfter : backoff(intent));
            default -> {
                if (intent.mayFollowFailure()) {
                    retry(intent, backoff(intent));
                }
            }
        }
    }

    private boolean honoursRetryAfter(RequestIntent intent, long retryAfter) {
        return retryAfter >= 0
                && retryAfter < Long.MAX_VALUE
                && intent.chance.hits(day.plan.part(ScenarioParameter.HONOUR));
    }

    private long backoff(RequestIntent intent) {
        long max =
                day.plan.size(ScenarioParameter.BACKOFF)
                        << Math.min(MAX_BACKOFF_DOUBLINGS, intent.tries);
        return max / 2 + intent.chance.nextLong(max / 2 + 1);
    }

    private void retry(RequestIntent intent, long delay) {
        if (intent.retriesLeft > 0) {
            intent.retriesLeft--;
            scheduleRetry(intent, delay);
        }
    }

    private void scheduleRetry(RequestIntent intent, long delay) {
        long at = day.now() + delay;
        if (intent.endsAt == 0
                ? intent.tries < MAX_UNSENT_ATTEMPTS
                : at + MIN_TIME_LEFT < intent.endsAt) {
            day.after(delay, () -> send(intent));
        }
    }

    /** Returns the connection with this socket; null if it is not one of this application's. */
    AppConnection connection(SimSocket socket) {
        for (AppConnection each : connections) {
            if (each.socket() == socket) {
                return each;
            }
        }
        return null;
    }

    /** Returns the id of a request that is open at this sidecar, or null. */
    String openId(ProcessSlot slot) {
        for (AppConnection each : connections) {
            String id = each.slot() == slot ? each.openId() : null;
            if (id != null) {
                return id;
            }
        }
        return null;
    }
}
