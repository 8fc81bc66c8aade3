package appleridge.testbed.coordination;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for a coordination server: one member of an ensemble on a socket of its own, alone or
 * among others. It keeps its port and, if wanted, its data over restarts. Blocks; not for an event
 * loop.
 */
public final class CoordinationServer implements AutoCloseable {
    /** How finely it looks at the clock, and the session time-outs that it grants. */
    public record Times(int tickMillis, int leastSessionMillis, int mostSessionMillis) {
        /** Fine enough for tests that last seconds. */
        public static final Times QUICK = new Times(50, 200, 60_000);
    }

    private static final int BIND_TRIES = 100;
    private static final int BIND_PAUSE_MILLIS = 20;

    private final CoordinationServers all;
    private final Member member;
    private InetSocketAddress address;
    private Channel listening;

    CoordinationServer(CoordinationServers all, Member member, InetSocketAddress address) {
        this.all = all;
        this.member = member;
        this.address = address;
    }

    /** Starts one that is an ensemble of its own, on any free port, with no data. */
    public static CoordinationServer standalone(Times times)
            throws IOException, InterruptedException {
        return new CoordinationServers(times, 1).members().get(0);
    }

    /**
     * Another one on a port of its own with what this one's ensemble holds now: it lags from then
     * on.
     */
    public CoordinationServer lagging() throws IOException, InterruptedException {
        return all.lagging().members().get(0);
    }

    Member member() {
        return member;
    }

    /** Starts again at its port, with its data. */
    public synchronized void start() throws IOException, InterruptedException {
        if (listening != null) {
            return;
        }
        all.run(() -> member.up(true));
        for (int i = 1; listening == null; i++) {
            ChannelFuture bound = all.listen(address, member).await();
            if (bound.isSuccess()) {
                listening = bound.channel();
                address = (InetSocketAddress) listening.localAddress();
            } else if (i == BIND_TRIES) {
                throw new IOException(bound.cause());
            } else {
                // What held the port last may not be gone altogether.
                Thread.sleep(BIND_PAUSE_MILLIS);
            }
        }
    }

    /** Ends; its data stays. */
    public synchronized void stop() {
        if (listening != null) {
            listening.close().awaitUninterruptibly();
            listening = null;
            all.run(() -> member.up(false));
        }
    }

    /** It remembers nothing when it starts next; only while it is stopped. */
    public void wipe() {
        restore(0);
    }

    /** It remembers nothing after this change when it starts next; only while it is stopped. */
    public void restore(long zxid) {
        all.run(() -> member.remembers(Math.min(member.remembered(), zxid)));
    }

    /** Where it listens. */
    public synchronized InetSocketAddress address() {
        return address;
    }

    /** The ensemble that it is a member of. */
    public CoordinationServers all() {
        return all;
    }

    /** Ends a session now; false if there is none such, or no quorum. */
    public boolean expire(long session) {
        return all.expire(session);
    }

    /** From now on no session ends by itself, or each does again after its whole time. */
    public void sessionsLast(boolean last) {
        all.sessionsLast(last);
    }

    /** The sessions that there are. */
    public List<Long> sessions() {
        return all.sessions();
    }

    /** From now on it answers pings and new connections and nothing else, or everything again. */
    public void hung(boolean hung) {
        all.run(() -> member.hung(hung));
    }

    /**
     * Knows of changes so much later than the others from now on; less than 0: knows of none any
     * more.
     */
    public void lag(long millis) {
        all.run(
                () ->
                        member.lag(
                                millis < 0
                                        ? Member.LAG_FOREVER
                                        : TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Whether clients that are content to read may come while it has no quorum. */
    public void readOnly(boolean isAllowed) {
        all.run(() -> member.readOnly(isAllowed));
    }

    /**
     * The next request of this kind (as in {@code ZooDefs.OpCode}) ends its connection unanswered:
     * once it was done, or not done at all.
     */
    public void breakNext(int type, boolean done) {
        all.run(() -> member.breakNext(type, done));
    }

    /** The id of the last change that it knows of. */
    public long lastChange() {
        return all.onLoop(member::applied);
    }

    /** How many requests of each kind (as in {@code ZooDefs.OpCode}) it took since its making. */
    public Map<Integer, Long> asked() {
        return all.onLoop(member::asked);
    }

    /** Ends its whole ensemble. */
    @Override
    public void close() {
        all.close();
    }
}
