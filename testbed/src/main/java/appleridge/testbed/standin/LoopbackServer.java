package appleridge.testbed.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One process of an order server: cores, a queue, a cold start, and faults that can be injected. A
 * request that its client cancels still runs to the end, as in the real servers. Use only on its
 * event loop, except for {@link #listen()}.
 */
public final class LoopbackServer {
    /**
     * Identity and size of a server process.
     *
     * @param name unique per process, not per address
     * @param queue the number of requests that may wait for a core
     * @param cold whether it starts now; otherwise it has been running for long and is warm
     */
    public record Identity(
            String name, String zone, ColdStart.Figures figures, int queue, boolean cold) {}

    private static final int MAX_BODY = 64 * 1024;
    private static final int IDLE_SECONDS = 10;

    /** Work of setting up a connection, added to its first request; core nanoseconds. */
    private static final double HANDSHAKE_NANOS = TimeUnit.MICROSECONDS.toNanos(4500);

    /** Work of a repeat without effect; core nanoseconds. */
    private static final double REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Bound of a request's work, as a multiple of its class's mean. */
    private static final double MAX_WORK_FACTOR = 5;

    private final RealTime time;
    private final Identity identity;
    private final RepeatMemory memory;
    private final SplittableRandom chance;
    private final StandInListener events;
    private final Listener listener;
    private final ServerCores cores;
    private final ColdStart coldStart;
    private final LoadReport report = new LoadReport();
    private final long startedAt;
    private double slowness = 1;
    private double resetShare;
    private boolean running = true;
    private int answers;

    /** `memory` is shared by all servers of a site. */
    public LoopbackServer(
            EventLoop loop,
            RealTime time,
            Identity identity,
            RepeatMemory memory,
            SplittableRandom chance,
            StandInListener events) {
        this.time = time;
        this.identity = identity;
        this.memory = memory;
        this.chance = chance;
        this.events = events;
        this.startedAt = time.nanos();
        this.coldStart = new ColdStart(identity.figures(), identity.cold(), startedAt);
        this.cores =
                new ServerCores(
                        loop,
                        identity.figures().cores(),
                        identity.queue(),
                        () -> coldStart.share(time.nanos()) / slowness);
        this.listener = new Listener(loop, this::install);
    }

    /** Listens on any free port. Blocks: must not be called on the event loop. */
    public void listen() throws InterruptedException {
        listener.listen();
    }

    /** Listens on the port of an earlier process as soon as it is free. */
    public void listen(int port, Runnable listening) {
        listener.listen(port, listening);
    }

    /** The port that it listens on. */
    public int port() {
        return listener.port();
    }

    /** The address it listens on, as host:port, the form used by discovery. */
    public String endpoint() {
        return "127.0.0.1:" + port();
    }

    /** Its identity. */
    public Identity identity() {
        return identity;
    }

    /** When it started, in Unix milliseconds; 0 if that is long ago. */
    public long bootMillis() {
        return identity.cold() ? time.unixMillis(startedAt) : 0;
    }

    /** Multiplies the service time of requests started from now on. */
    public void slow(double times) {
        slowness = times;
    }

    /** From now on resets the connection in the middle of this share of the responses. */
    public void resets(double share) {
        resetShare = share;
    }

    /** Ends the process: connections are reset and new ones refused. */
    public void crash() {
        running = false;
        cores.stop();
        listener.close();
        listener.resetAll();
    }

    private void install(Channel channel) {
        FirstByteTimer firstByte = new FirstByteTimer(time);
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(IDLE_SECONDS),
                        firstByte,
                        new HttpRequestDecoder(),
                        new HttpObjectAggregator(MAX_BODY),
                        new RequestHandler(firstByte));
    }

    private void handle(
            Channel channel, FullHttpRequest request, long firstByte, boolean firstOfConnection) {
        long now = time.nanos();
        String id = request.headers().get("X-Request-Id");
        RequestKind kind = RequestKind.ofPath(request.uri());
        if (request.decoderResult().isFailure() || id == null || kind == null) {
            channel.writeAndFlush(
                    HttpResponses.bytes(id == null ? "404 Not Found" : "400 Bad Request", ""));
            return;
        }
        String key = request.headers().get("Idempotency-Key");
        double drawn = -Math.log(1 - chance.nextDouble()) * kind.work();
        double work =
                Math.min(drawn, MAX_WORK_FACTOR * kind.work())
                        + (firstOfConnection ? HANDSHAKE_NANOS : 0);
        boolean full = cores.full();
        events.arrived(
                new StandInListener.Arrival(
                        identity.name(),
                        identity.zone(),
                        id,
                        kind,
                        key,
                        firstByte,
                        now,
                        work,
                        full));
        if (coldStart.sent(now, work) > 1) {
            events.fellOver(identity.name(), now);
            crash();
        } else if (full) {
            channel.writeAndFlush(
                    HttpResponses.bytes("503 Service Unavailable", "", "X-Not-Run: 1", load(now)));
        } else {
            boolean takesEffect = memory.takesEffect(kind, key, identity.zone(), now);
            double cost = takesEffect ? work : Math.min(work, REPEAT_NANOS);
            cores.add(cost, () -> answer(channel, id, cost, takesEffect));
        }
    }

    private void answer(Channel channel, String id, double work, boolean takesEffect) {
        boolean cut = chance.nextDouble() < resetShare;
        report.answered(work, cut);
        String body =
                id
                        + (takesEffect ? " done by " : " known to ")
                        + identity.name()
                        + " #"
                        + ++answers;
        events.made(identity.name(), id, body);
        ByteBuf reply =
                HttpResponses.bytes("200 OK", body, "Content-Type: text/plain", load(time.nanos()));
        if (cut) {
            channel.writeAndFlush(reply.readSlice(reply.readableBytes() / 2))
                    .addListener(done -> HttpResponses.reset(channel));
        } else {
            channel.writeAndFlush(reply);
        }
    }

    private String load(long now) {
        return "X-Load: " + report.text(now, cores.queued());
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final FirstByteTimer firstByte;
        private boolean used;

        RequestHandler(FirstByteTimer firstByte) {
            this.firstByte = firstByte;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            // Requests that the crashed process had not read yet are lost.
            if (running) {
                handle(ctx.channel(), request, firstByte.requestComplete(), !used);
                used = true;
            }
        }
    }
}
