package appleridge.testbed.coordination;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for a coordination server: one member of an ensemble on its own socket. It keeps its
 * port over restarts, and its data unless told to wipe it. Methods block and must not be called on
 * an event loop.
 */
public final class CoordinationServer implements AutoCloseable {
    /**
     * The interval at which sessions are checked for expiry, and the bounds of the session
     * time-outs that are granted.
     */
    public record Times(int tickMillis, int minSessionMillis, int maxSessionMillis) {
        /** Allows tests that last seconds. */
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

    /** Starts an ensemble of one member on any free port, with no data. */
    public static CoordinationServer standalone(Times times)
            throws IOException, InterruptedException {
        return new CoordinationServers(times, 1).members().get(0);
    }

    /**
     * Starts a separate server on any free port with a copy of this ensemble's data. The copy
     * receives no further changes, like a server that lags.
     */
    public CoordinationServer lagging() throws IOException, InterruptedException {
        return all.lagging().members().get(0);
    }

    Member member() {
        return member;
    }

    /** Starts the member at its port, with its data; does nothing if it runs. */
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
                throw new IOException("cannot listen on " + address, bound.cause());
            } else {
                // The previous socket on this port may not be released yet.
                Thread.sleep(BIND_PAUSE_MILLIS);
            }
        }
    }

    /** Stops the member; its data stays. */
    public synchronized void stop() {
        if (listening != null) {
            listening.close().awaitUninterruptibly();
            listening = null;
            all.run(() -> member.up(false));
        }
    }

    /** Discards the member's data. Call only while it is stopped. */
    public void wipe() {
        restore(0);
    }

    /** Discards the member's changes after this transaction. Call only while it is stopped. */
    public void restore(long zxid) {
        all.run(() -> member.remembers(Math.min(member.remembered(), zxid)));
    }

    /** The address that the member listens on, or listened on last. */
    public synchronized InetSocketAddress address() {
        return address;
    }

    /** The ensemble of this member. */
    public CoordinationServers all() {
        return all;
    }

    /** Expires a session now; returns false if it does not exist or there is no quorum. */
    public boolean expire(long session) {
        return all.expire(session);
    }

    /** Suspends the expiry of sessions, or resumes it with the full time-out of each session. */
    public void suspendExpiry(boolean isSuspended) {
        all.suspendExpiry(isSuspended);
    }

    /** The ids of the open sessions. */
    public List<Long> sessions() {
        return all.sessions();
    }

    /**
     * If hung, the member answers only pings and new connections; it queues other requests and
     * processes them when it resumes.
     */
    public void hung(boolean hung) {
        all.run(() -> member.hung(hung));
    }

    /** Applies changes this much after their commit; a negative lag applies none any more. */
    public void lag(long millis) {
        all.run(
                () ->
                        member.lag(
                                millis < 0
                                        ? Member.LAG_FOREVER
                                        : TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Whether clients that accept a read-only server may connect while there is no quorum. */
    public void readOnly(boolean isAllowed) {
        all.run(() -> member.readOnly(isAllowed));
    }

    /**
     * Closes the connection of the next request of this type (see {@code ZooDefs.OpCode}) without a
     * response, after applying the request if {@code done}, otherwise without applying it.
     */
    public void breakNext(int type, boolean done) {
        all.run(() -> member.breakNext(type, done));
    }

    /** The zxid of the last transaction that the member has applied. */
    public long lastChange() {
        return all.onLoop(member::applied);
    }

    /** The number of requests received so far, by type (see {@code ZooDefs.OpCode}). */
    public Map<Integer, Long> requestCounts() {
        return all.onLoop(member::requestCounts);
    }

    /** Stops the whole ensemble. */
    @Override
    public void close() {
        all.close();
    }
}
