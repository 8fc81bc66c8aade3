package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The calling application beside one sidecar: its clients, who keep connections and open more when
 * all are busy. While its own sidecar is away they use another one that is ready.
 */
final class Application {
    /** A client that finds no sidecar for so long does without. */
    private static final long WAITS = 1500 * Site.MS;

    private static final long LEAST_LEFT = 50 * Site.MS;
    private static final long SERIALS = 1L << 32;

    private final Day day;
    private final int index;
    private final Host host;
    private final ProcessSlots seats;
    private final long[] works;
    private final SeededRandom chance;
    private final List<AppConnection> connections = new ArrayList<>();
    private final ArrayDeque<AppConnection> free = new ArrayDeque<>();
    private final ArrayDeque<RequestIntent> waiting = new ArrayDeque<>();
    private long wishes;
    private long tries;

    Application(Day day, int index, Host host, ProcessSlots seats, long[] works) {
        this.day = day;
        this.index = index;
        this.host = host;
        this.seats = seats;
        this.works = works;
        this.chance = day.work("app." + index);
        seats.onReady(this::serveWaiting);
    }

    Host host() {
        return host;
    }

    /** A client of a tenant wants something done. */
    void submit(int tenant) {
        long number = wishes++;
        RequestIntent wish =
                new RequestIntent(
                        day,
                        "w" + index + "-" + number,
                        day.work("wish." + index + "." + number),
                        works,
                        tenant);
        ask(wish);
    }

    private void ask(RequestIntent wish) {
        if (wish.endsAt != 0 && wish.endsAt - day.now() < LEAST_LEFT) {
            return;
        }
        AppConnection kept = keptOfOneThatEnds();
        if (kept != null) {
            kept.ask(new PendingAttempt(day, this, wish, index * SERIALS + ++tries));
            return;
        }
        ProcessSlot seat = seats.choose(index, chance);
        if (seat == null) {
            await(wish);
            return;
        }
        AppConnection behind =
                wish.chance.hits(day.plan.part(ScenarioParameter.PIPELINED))
                        ? busy(seat, wish)
                        : null;
        AppConnection connection = behind != null ? behind : free(seat);
        if (connection == null && seat.isFull() && !spare(seat)) {
            await(wish);
            return;
        }
        PendingAttempt asking = new PendingAttempt(day, this, wish, index * SERIALS + ++tries);
        if (connection != null) {
            connection.ask(asking);
            return;
        }
        AppConnection opened = new AppConnection(day, this, seat, asking);
        if (opened.connect()) {
            connections.add(opened);
            seat.connections(1);
        } else {
            asking.unsent();
        }
    }

    private void await(RequestIntent wish) {
        waiting.add(wish);
        day.after(WAITS, () -> waiting.remove(wish));
    }

    private void serveWaiting() {
        for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
            ask(waiting.poll());
        }
    }

    /** New connections go elsewhere; those that there are go on being used while they stay open. */
    private AppConnection keptOfOneThatEnds() {
        ProcessSlot own = seats.all().get(index);
        return own.isRunning() && !own.isUsable() ? free(own) : null;
    }

    private AppConnection free(ProcessSlot seat) {
        for (AppConnection each : free) {
            if (each.seat() == seat && each.isFree()) {
                free.remove(each);
                return each;
            }
        }
        return null;
    }

    private AppConnection busy(ProcessSlot seat, RequestIntent wish) {
        if (wish.asksOnce || wish.slowReader) {
            return null;
        }
        long until = day.now() + (long) (wish.share * wish.deadline);
        for (AppConnection each : connections) {
            if (each.seat() == seat && each.takesBehind(until)) {
                return each;
            }
        }
        return null;
    }

    /** Makes room for another connection: one on which nothing is open goes. */
    private boolean spare(ProcessSlot seat) {
        for (AppConnection each : connections) {
            if (each.seat() == seat && (each.isFree() || each.isSpent())) {
                each.leave();
                return true;
            }
        }
        return false;
    }

    /** A connection has nothing open on it any more. */
    void free(AppConnection connection) {
        free.push(connection);
        if (!waiting.isEmpty()) {
            serveWaiting();
        }
    }

    void closed(AppConnection connection) {
        if (connections.remove(connection)) {
            connection.seat().connections(-1);
        }
        free.remove(connection);
    }

    /** Nobody asks any more: all connections are closed. */
    void closeAll() {
        waiting.clear();
        List.copyOf(connections).forEach(AppConnection::leave);
    }

    /** A try is over: its client is content, asks again, or leaves it at that. */
    void ended(PendingAttempt asking, PendingAttempt.Outcome outcome, long retryAfter) {
        RequestIntent wish = asking.wish;
        switch (outcome) {
            case SERVED, GAVE_UP -> {}
            case UNSENT -> again(wish, backoff(wish));
            case CROSSED -> again(wish, 0);
            case REFUSED -> retry(wish, heeds(wish, retryAfter) ? retryAfter : backoff(wish));
            default -> {
                if (wish.mayFollowFailure()) {
                    retry(wish, backoff(wish));
                }
            }
        }
    }

    private boolean heeds(RequestIntent wish, long retryAfter) {
        return retryAfter >= 0
                && retryAfter < Long.MAX_VALUE
                && wish.chance.hits(day.plan.part(ScenarioParameter.HONOUR));
    }

    private long backoff(RequestIntent wish) {
        long longest = day.plan.size(ScenarioParameter.BACKOFF) << Math.min(6, wish.tries);
        return longest / 2 + wish.chance.nextLong(longest / 2 + 1);
    }

    private void retry(RequestIntent wish, long wait) {
        if (wish.retriesLeft > 0) {
            wish.retriesLeft--;
            again(wish, wait);
        }
    }

    private void again(RequestIntent wish, long wait) {
        long at = day.now() + wait;
        if (wish.endsAt == 0 ? wish.tries < 20 : at + LEAST_LEFT < wish.endsAt) {
            day.after(wait, () -> ask(wish));
        }
    }

    /** The connection with this end; null if it is none of this application's. */
    AppConnection connection(SimSocket socket) {
        for (AppConnection each : connections) {
            if (each.socket() == socket) {
                return each;
            }
        }
        return null;
    }

    /** An id that is open just now at this sidecar, or null. */
    String openId(ProcessSlot seat) {
        for (AppConnection each : connections) {
            String id = each.seat() == seat ? each.openId() : null;
            if (id != null) {
                return id;
            }
        }
        return null;
    }
}
