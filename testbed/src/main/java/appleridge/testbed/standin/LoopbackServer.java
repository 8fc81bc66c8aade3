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
 * One process of an order server: cores, a queue, a cold start, and faults that can be set. What is
 * called off runs on, as the real ones do. Lives on its event loop; only {@link #listen()} is
 * called from elsewhere.
 */
public final class LoopbackServer {
    /**
     * Who a server is.
     *
     * @param name new with each process
     * @param queue how many requests may wait for a core
     * @param cold whether it starts now; else it has been running for long
     */
    public record Identity(
            String name, String zone, ColdStart.Figures figures, int queue, boolean cold) {}

    private static final int MAX_BODY = 64 * 1024;
    private static final int IDLE_SECONDS = 10;

    /** What a new connection costs, before its first request. */
    private static final double HANDSHAKE = TimeUnit.MICROSECONDS.toNanos(4500);

    private static final double REPEAT = TimeUnit.MILLISECONDS.toNanos(1);

    /** Times the mean; no request is more work than that. */
    private static final double MOST = 5;

    private final RealTime time;
    private final Identity identity;
    private final RepeatMemory memory;
    private final SplittableRandom chance;
    private final StandInListener witness;
    private final Listener listener;
    private final ServerCores workshop;
    private final ColdStart coldStart;
    private final LoadReport report = new LoadReport();
    private final long startedAt;
    private double slowness = 1;
    private double resetPart;
    private boolean running = true;
    private int answers;

    /** With the memory of repeats that all servers of a site share. */
    public LoopbackServer(
            EventLoop loop,
            RealTime time,
            Identity identity,
            RepeatMemory memory,
            SplittableRandom chance,
            StandInListener witness) {
        this.time = time;
        this.identity = identity;
        this.memory = memory;
        this.chance = chance;
        this.witness = witness;
        this.startedAt = time.nanos();
        this.coldStart = new ColdStart(identity.figures(), identity.cold(), startedAt);
        this.workshop =
                new ServerCores(
                        loop,
                        identity.figures().cores(),
                        identity.queue(),
                        () -> coldStart.share(time.nanos()) / slowness);
        this.listener = new Listener(loop, this::install);
    }

    /** Starts on any free port; blocks, so never to be called on the loop. */
    public void listen() throws InterruptedException {
        listener.listen();
    }

    /** Starts on a port that another one had, as soon as it can. */
    public void listen(int port, Runnable listening) {
        listener.listen(port, listening);
    }

    /** The port that it listens on. */
    public int port() {
        return listener.port();
    }

    /** Where it listens, as discovery says it. */
    public String endpoint() {
        return "127.0.0.1:" + port();
    }

    /** Who it is. */
    public Identity identity() {
        return identity;
    }

    /** When it started, in Unix milliseconds; 0 for long ago. */
    public long bootMillis() {
        return identity.cold() ? time.unixMillis(startedAt) : 0;
    }

    /** Takes this many times as long as usual from now on. */
    public void slow(double times) {
        slowness = times;
    }

    /** Resets the connection within this part of its answers from now on. */
    public void resets(double part) {
        resetPart = part;
    }

    /** The process ends: connections are reset, and new ones refused. */
    public void crash() {
        running = false;
        workshop.stop();
        listener.close();
        listener.resetAll();
    }

    private void install(Channel channel) {
        FirstByte firstByte = new FirstByte(time);
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(IDLE_SECONDS),
                        firstByte,
                        new HttpRequestDecoder(),
                        new HttpObjectAggregator(MAX_BODY),
                        new Requests(firstByte));
    }

    private void take(
            Channel channel, FullHttpRequest request, long firstByte, boolean firstOfConnection) {
        long now = time.nanos();
        String id = request.headers().get("X-Request-Id");
        RequestKind kind = RequestKind.ofPath(request.uri());
        if (request.decoderResult().isFailure() || id == null || kind == null) {
            channel.writeAndFlush(
                    Replies.bytes(id == null ? "404 Not Found" : "400 Bad Request", ""));
            return;
        }
        String key = request.headers().get("Idempotency-Key");
        double drawn = -Math.log(1 - chance.nextDouble()) * kind.work();
        double work = Math.min(drawn, MOST * kind.work()) + (firstOfConnection ? HANDSHAKE : 0);
        boolean full = workshop.full();
        witness.arrived(
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
            witness.fellOver(identity.name(), now);
            crash();
        } else if (full) {
            channel.writeAndFlush(
                    Replies.bytes("503 Service Unavailable", "", "X-Not-Run: 1", load(now)));
        } else {
            boolean takesEffect = memory.takesEffect(kind, key, identity.zone(), now);
            double cost = takesEffect ? work : Math.min(work, REPEAT);
            workshop.add(cost, () -> answer(channel, id, cost, takesEffect));
        }
    }

    private void answer(Channel channel, String id, double work, boolean takesEffect) {
        boolean cut = chance.nextDouble() < resetPart;
        report.answered(work, cut);
        String body =
                id
                        + (takesEffect ? " done by " : " known to ")
                        + identity.name()
                        + " #"
                        + ++answers;
        witness.made(identity.name(), id, body);
        ByteBuf reply =
                Replies.bytes("200 OK", body, "Content-Type: text/plain", load(time.nanos()));
        if (cut) {
            channel.writeAndFlush(reply.readSlice(reply.readableBytes() / 2))
                    .addListener(done -> Replies.reset(channel));
        } else {
            channel.writeAndFlush(reply);
        }
    }

    private String load(long now) {
        return "X-Load: " + report.text(now, workshop.queued());
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final FirstByte firstByte;
        private boolean asked;

        Requests(FirstByte firstByte) {
            this.firstByte = firstByte;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            // What the system still holds of a process that has ended was never read.
            if (running) {
                take(ctx.channel(), request, firstByte.whole(), !asked);
                asked = true;
            }
        }
    }
}
