package appleridge.testbed.standin;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The client applications of a sidecar: an open-loop load generator with random arrival times. A
 * refused request (429 or 503) is sent once more. Use only on its event loop.
 */
public final class LoopbackClients {
    /**
     * The load to generate.
     *
     * @param clients the number of clients; each has its own connections
     * @param rate requests per second of all clients together, without retries
     * @param impatient the share of requests whose client disconnects before its deadline
     * @param overtime how long a client still waits after its deadline, in nanoseconds
     */
    public record Habits(int clients, double rate, double impatient, long overtime) {}

    private static final int SECOND = 1_000_000_000;

    /** After a longer pause of this process, the requests missed meanwhile are skipped. */
    private static final long MAX_CATCH_UP = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long DEFAULT_RETRY_DELAY = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long MIN_TIME_LEFT = TimeUnit.MILLISECONDS.toNanos(50);

    private final EventLoop loop;
    private final RealTime time;
    private final Habits habits;
    private final SplittableRandom chance;
    private final StandInListener events;
    private final List<LoopbackClient> clients = new ArrayList<>();
    private String flooding = "";
    private double flood = 1;
    private boolean sending;
    private long nextAt;
    private int open;

    public LoopbackClients(
            EventLoop loop,
            RealTime time,
            InetSocketAddress sidecar,
            Habits habits,
            SplittableRandom chance,
            StandInListener events) {
        this.loop = loop;
        this.time = time;
        this.habits = habits;
        this.chance = chance;
        this.events = events;
        for (int i = 0; i < habits.clients(); i++) {
            clients.add(new LoopbackClient(loop, time, sidecar, this, events));
        }
    }

    /** Starts sending requests. */
    public void start() {
        sending = true;
        nextAt = time.nanos();
        scheduleNext();
    }

    /** Stops sending; open requests continue. */
    public void stop() {
        sending = false;
    }

    /** Multiplies the request rate of this wholesaler from now on. */
    public void flood(String wholesaler, double times) {
        flooding = wholesaler;
        flood = times;
    }

    /** The number of open requests. */
    public int open() {
        return open;
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        clients.forEach(LoopbackClient::closeIdle);
    }

    private void scheduleNext() {
        nextAt +=
                (long) (-Math.log(1 - chance.nextDouble()) * SECOND / (habits.rate() * weights()));
        long now = time.nanos();
        if (nextAt < now - MAX_CATCH_UP) {
            nextAt = now;
        }
        loop.schedule(
                () -> {
                    if (sending) {
                        sendNewRequest();
                        scheduleNext();
                    }
                },
                Math.max(0, nextAt - now),
                TimeUnit.NANOSECONDS);
    }

    private double weights() {
        return TenantShare.ALL.stream().mapToDouble(this::weight).sum();
    }

    private double weight(TenantShare wholesaler) {
        return wholesaler.share() * (wholesaler.name().equals(flooding) ? flood : 1);
    }

    private void sendNewRequest() {
        String id = randomId();
        RequestKind kind = kind();
        send(
                new StandInListener.Ask(
                        id,
                        id,
                        kind,
                        wholesaler(),
                        kind.repeats().keyed() ? randomId() + randomId() : null,
                        0,
                        time.nanos(),
                        kind.patience()));
    }

    private void send(StandInListener.Ask ask) {
        open++;
        events.asks(ask);
        long leaveAfter =
                chance.nextDouble() < habits.impatient()
                        ? (long) (ask.patience() * chance.nextDouble())
                        : Long.MAX_VALUE;
        clients.get(chance.nextInt(clients.size()))
                .send(ask, leaveAfter, ask.patience() + habits.overtime());
    }

    /** Ends a request; one that was refused is sent once more if enough time is left. */
    void finished(StandInListener.Ask ask, boolean refused, long wait) {
        open--;
        long pause = wait < 0 ? DEFAULT_RETRY_DELAY : wait;
        long left = ask.patience() - (time.nanos() - ask.at()) - pause;
        if (refused && sending && ask.number() == 0 && left > MIN_TIME_LEFT) {
            loop.schedule(
                    () -> {
                        if (sending) {
                            send(
                                    new StandInListener.Ask(
                                            randomId(),
                                            ask.wish(),
                                            ask.kind(),
                                            ask.wholesaler(),
                                            ask.key(),
                                            1,
                                            time.nanos(),
                                            left));
                        }
                    },
                    pause,
                    TimeUnit.NANOSECONDS);
        }
    }

    private RequestKind kind() {
        double remaining = chance.nextDouble();
        for (RequestKind kind : RequestKind.ALL) {
            remaining -= kind.share();
            if (remaining < 0) {
                return kind;
            }
        }
        return RequestKind.ALL.get(0);
    }

    private String wholesaler() {
        double remaining = chance.nextDouble() * weights();
        for (TenantShare wholesaler : TenantShare.ALL) {
            remaining -= weight(wholesaler);
            if (remaining < 0) {
                return wholesaler.name();
            }
        }
        return TenantShare.ALL.get(0).name();
    }

    private String randomId() {
        String digits = Long.toHexString(chance.nextLong());
        return "0".repeat(16 - digits.length()) + digits;
    }
}
