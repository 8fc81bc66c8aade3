package levergrade.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import levergrade.Balancer.Outcome;
import levergrade.node.StubUpstream.Script;
import levergrade.node.UpstreamPool.Result;

/** Connections kept, closed and given up, without the module, whose own orders close idle ones too. */
@Timeout(60)
class UpstreamPoolTest {
    private static final Script GOOD = StubUpstream.says(StubUpstream.answer("200 OK", "fine"));

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private UpstreamPool pool(long idleMillis, int connections) {
        return new UpstreamPool(loop, TimeUnit.SECONDS.toNanos(1), TimeUnit.MILLISECONDS.toNanos(idleMillis),
                connections);
    }

    private UpstreamExchange start(UpstreamPool pool, StubUpstream upstream) throws Exception {
        InetSocketAddress address = Config.address(upstream.address());
        return loop.submit(() -> pool.start(address, () -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                HttpMethod.GET, "/"), results::add)).get();
    }

    private Result next() throws InterruptedException {
        Result result = results.poll(LoopbackNode.PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertTrue(result != null, "an outcome within the bound");
        return result;
    }

    private String ask(UpstreamPool pool, StubUpstream upstream) throws Exception {
        start(pool, upstream);
        Result result = next();
        assertEquals(Outcome.OK, result.outcome());
        return new String(result.body(), StandardCharsets.US_ASCII);
    }

    @Test
    void connectionsAreReused() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamPool pool = pool(10_000, 10);
            for (int i = 0; i < 5; i++) {
                ask(pool, upstream);
            }
            assertEquals(1, upstream.accepted.size());
            loop.execute(() -> pool.closeIdle(Config.address(upstream.address())));
            upstream.awaitClosed();
            ask(pool, upstream);
            assertEquals(2, upstream.accepted.size());
        }
    }

    /** Guards against a request lost to a connection that its upstream is about to close. */
    @Test
    void idleConnectionsAreClosedAheadOfTheUpstream() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamPool pool = pool(2000, 10);
            ask(pool, upstream);
            long answered = System.nanoTime();
            upstream.awaitClosed();
            assertTrue(System.nanoTime() - answered < TimeUnit.MILLISECONDS.toNanos(2000));
        }
    }

    /** Guards against a request written to a connection whose end the upstream has announced. */
    @Test
    void aConnectionThatTheUpstreamClosesIsNotUsedAgain() throws Exception {
        Script closing = (socket, request) -> {
            StubUpstream.write(socket, StubUpstream.answer("200 OK", "fine", "Connection: close"));
            return false;
        };
        try (StubUpstream upstream = new StubUpstream(closing)) {
            UpstreamPool pool = pool(10_000, 10);
            for (int i = 0; i < 5; i++) {
                ask(pool, upstream);
            }
            assertEquals(5, upstream.accepted.size());
        }
    }

    /** Guards against noise behind one answer being read as the next one, also where it is no whole line. */
    @Test
    void whatComesBehindAnAnswerDoesNotReachTheNextRequest() throws Exception {
        String[] noise = {StubUpstream.answer("200 OK", "wrong"), "HTTP/1.1 2", "\n noise"};
        for (String behind : noise) {
            Script doubled = StubUpstream.says(StubUpstream.answer("200 OK", "fine") + behind);
            Script next = StubUpstream.says(StubUpstream.answer("200 OK", "next"));
            try (StubUpstream upstream = new StubUpstream(
                    StubUpstream.firstThen(new CountDownLatch(1), doubled, next))) {
                UpstreamPool pool = pool(10_000, 10);
                assertEquals("fine", ask(pool, upstream));
                assertEquals("next", ask(pool, upstream));
                assertEquals(2, upstream.accepted.size());
            }
        }
    }

    /** Guards against running out of descriptors: what can't be sent has never been sent. */
    @Test
    void overTheCapNothingIsSentUnlessAnIdleConnectionCanGo() throws Exception {
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                StubUpstream good = new StubUpstream(GOOD)) {
            UpstreamPool pool = pool(10_000, 1);
            ask(pool, good);
            UpstreamExchange held = start(pool, silent);
            silent.nextRequest();
            good.awaitClosed();
            start(pool, good);
            assertEquals(Outcome.NEVER_SENT, next().outcome());
            loop.execute(held::abandon);
            silent.awaitClosed();
            assertEquals("fine", ask(pool, good));
            assertEquals(0, results.size(), "nothing is told of what was abandoned");
        }
    }
}
