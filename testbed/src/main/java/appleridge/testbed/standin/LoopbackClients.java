package appleridge.testbed.standin;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The applications beside a sidecar: they ask at random times, whether or not earlier requests are
 * answered, and after a refusal once more. Lives on its event loop.
 */
public final class LoopbackClients {
    /**
     * What they ask.
     *
     * @param clients how many there are; each keeps connections of its own
     * @param rate requests a second, of all together, retries not counted
     * @param impatient the part of requests whose client leaves before its time is over
     * @param overtime how long beyond its time a client goes on listening, in nanoseconds
     */
    public record Habits(int clients, double rate, double impatient, long overtime) {}

    private static final int SECOND = 1_000_000_000;

    /**
     * After the process stood still for longer, what should have been asked meanwhile is left out.
     */
    private static final long CATCHES_UP = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long USUAL_WAIT = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LEAST_TIME = TimeUnit.MILLISECONDS.toNanos(50);

    private final EventLoop loop;
    private final RealTime time;
    private final Habits habits;
    private final SplittableRandom chance;
    private final StandInListener witness;
    private final List<LoopbackClient> clients = new ArrayList<>();
    private String flooding = "";
    private double flood = 1;
    private boolean asking;
    private long nextAt;
    private int open;

    public LoopbackClients(
            EventLoop loop,
            RealTime time,
            InetSocketAddress sidecar,
            Habits habits,
            SplittableRandom chance,
            StandInListener witness) {
        this.loop = loop;
        this.time = time;
        this.habits = habits;
        this.chance = chance;
        this.witness = witness;
        for (int i = 0; i < habits.clients(); i++) {
            clients.add(new LoopbackClient(loop, time, sidecar, this, witness));
        }
    }

    /** Begins to ask. */
    public void start() {
        asking = true;
        nextAt = time.nanos();
        scheduleNext();
    }

    /** Asks nothing more; what is open goes on. */
    public void stop() {
        asking = false;
    }

    /** From now on this wholesaler sends so many times what it usually does. */
    public void flood(String wholesaler, double times) {
        flooding = wholesaler;
        flood = times;
    }

    /** How many requests are open. */
    public int open() {
        return open;
    }

    /** Closes the connections that are kept. */
    public void closeIdle() {
        clients.forEach(LoopbackClient::closeIdle);
    }

    private void scheduleNext() {
        nextAt +=
                (long) (-Math.log(1 - chance.nextDouble()) * SECOND / (habits.rate() * weights()));
        long now = time.nanos();
        if (nextAt < now - CATCHES_UP) {
            nextAt = now;
        }
        loop.schedule(
                () -> {
                    if (asking) {
                        wish();
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

    private void wish() {
        String id = hex();
        RequestKind kind = kind();
        send(
                new StandInListener.Ask(
                        id,
                        id,
                        kind,
                        wholesaler(),
                        kind.repeats().keyed() ? hex() + hex() : null,
                        0,
                        time.nanos(),
                        kind.patience()));
    }

    private void send(StandInListener.Ask ask) {
        open++;
        witness.asks(ask);
        long leaves =
                chance.nextDouble() < habits.impatient()
                        ? (long) (ask.patience() * chance.nextDouble())
                        : Long.MAX_VALUE;
        clients.get(chance.nextInt(clients.size()))
                .ask(ask, leaves, ask.patience() + habits.overtime());
    }

    /** A request is over; one that was refused is sent once more, if there is time. */
    void over(StandInListener.Ask ask, boolean refused, long wait) {
        open--;
        long pause = wait < 0 ? USUAL_WAIT : wait;
        long left = ask.patience() - (time.nanos() - ask.at()) - pause;
        if (refused && asking && ask.number() == 0 && left > LEAST_TIME) {
            loop.schedule(
                    () -> {
                        if (asking) {
                            send(
                                    new StandInListener.Ask(
                                            hex(),
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
        double drawn = chance.nextDouble();
        for (RequestKind kind : RequestKind.ALL) {
            drawn -= kind.share();
            if (drawn < 0) {
                return kind;
            }
        }
        return RequestKind.ALL.get(0);
    }

    private String wholesaler() {
        double drawn = chance.nextDouble() * weights();
        for (TenantShare wholesaler : TenantShare.ALL) {
            drawn -= weight(wholesaler);
            if (drawn < 0) {
                return wholesaler.name();
            }
        }
        return TenantShare.ALL.get(0).name();
    }

    private String hex() {
        String digits = Long.toHexString(chance.nextLong());
        return "0".repeat(16 - digits.length()) + digits;
    }
}
