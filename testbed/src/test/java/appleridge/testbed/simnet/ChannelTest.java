package appleridge.testbed.simnet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.WriteBufferWaterMark;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ChannelTest {
    private static final long MS = World.MS;

    private final Site site = new Site(1, Site.COSTS);
    private final World world = site.world;
    private final List<String> heard = site.heard;

    @AfterEach
    void nothingEscaped() {
        assertEquals(List.of(), site.client.uncaughtExceptions());
        assertEquals(List.of(), site.server.uncaughtExceptions());
        site.end();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private SimChannel connect() {
        site.serveNoting(10);
        SimChannel channel = site.connectNoting();
        heard.clear();
        return channel;
    }

    @Test
    void speaksHttpInSingleBytes() {
        world.there().segment = 1;
        world.back().segment = 1;
        site.serveHttp();
        site.ask(20, 100);
        world.run(World.SECOND);
        assertEquals(20, site.answers);
        assertEquals(0, site.client.usedMemory());
        assertEquals(0, site.server.usedMemory());
        assertEquals(0, world.a.descriptors());
        assertEquals(1, world.b.descriptors());
        assertEquals(List.of(site.listener), site.server.channels());
        assertEquals(List.of(), site.client.channels());
    }

    @Test
    void carriesBuffersOfAllKindsInOnePiece() {
        SimChannel channel = connect();
        channel.write(bytes("heap "));
        channel.write(
                Unpooled.directBuffer().writeBytes("direct ".getBytes(StandardCharsets.US_ASCII)));
        channel.write(Unpooled.EMPTY_BUFFER);
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes("com"), bytes("posite")));
        world.run(MS);
        assertEquals(List.of("server reads heap direct composite"), heard);
    }

    @Test
    void aPromiseIsKeptWhenTheLastByteIsInTheSystemsBuffer() {
        world.there().sendBuffer = 1_000;
        world.there().receiveBuffer = 1_000;
        SimChannel channel = connect();
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(500, 4_000));
        site.server.pause(World.SECOND);
        ChannelFuture first = channel.writeAndFlush(bytes("x".repeat(2_000)));
        ChannelFuture second = channel.writeAndFlush(bytes("y".repeat(5_000)));
        world.run(900 * MS);
        assertTrue(first.isSuccess());
        assertFalse(second.isDone());
        assertFalse(channel.isWritable());
        assertEquals("client writable false", heard.get(heard.size() - 1));
        world.run(World.SECOND);
        assertTrue(second.isSuccess() && channel.isWritable());
        int length =
                heard.stream()
                        .filter(each -> each.startsWith("server reads "))
                        .mapToInt(each -> each.length() - "server reads ".length())
                        .sum();
        assertEquals(7_000, length);
    }

    @Test
    void anEndClosesTheChannel() {
        SimChannel channel = connect();
        channel.write(bytes("bye"));
        channel.flush();
        channel.close();
        world.run(MS);
        assertEquals(List.of("client inactive", "server reads bye", "server inactive"), heard);
        assertEquals(0, world.a.descriptors());
        assertEquals(1, world.b.descriptors());
    }

    @Test
    void halfCloseIsHeardWhereItIsAllowed() {
        SimChannel channel = connect();
        site.served.get(0).config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        ChannelFuture shut = channel.shutdownOutput();
        world.run(MS);
        assertTrue(shut.isSuccess() && channel.isOutputShutdown() && !channel.isInputShutdown());
        assertTrue(site.served.get(0).isInputShutdown());
        assertTrue(heard.contains("server ChannelInputShutdownEvent"), heard.toString());
        site.served.get(0).writeAndFlush(bytes("still there"));
        world.run(MS);
        assertTrue(heard.contains("client reads still there"));
        ChannelFuture late = channel.writeAndFlush(bytes("x"));
        world.run(MS);
        assertFalse(late.isSuccess());
        assertTrue(channel.shutdown().channel().isActive());
        world.run(MS);
        assertTrue(channel.isShutdown());
    }

    @Test
    void aResetIsAnExceptionAndThenTheEnd() {
        SimChannel channel = connect();
        channel.socket().fault(SimSocket.Fault.RESET);
        world.run(MS);
        assertEquals(
                List.of(
                        "client Connection reset by peer",
                        "client inactive",
                        "server Connection reset by peer",
                        "server inactive"),
                heard.stream().sorted().toList());
    }

    @Test
    void withoutAutoReadNothingIsReadUntilAsked() {
        SimChannel channel = connect();
        channel.config().setAutoRead(false);
        site.served.get(0).writeAndFlush(bytes("waits"));
        world.run(MS);
        assertEquals(List.of(), heard);
        channel.read();
        world.run(MS);
        assertEquals(List.of("client reads waits"), heard);
        site.served.get(0).writeAndFlush(bytes("at once"));
        world.run(MS);
        site.client.execute(channel::readNow);
        world.run(MS);
        assertEquals("client reads at once", heard.get(1));
    }

    @Test
    void refusedConnectsFail() {
        ChannelFuture refused = site.connect(1_000, new ChannelInboundHandlerAdapter());
        world.run(MS);
        assertInstanceOf(ConnectException.class, refused.cause());
        assertFalse(refused.channel().isOpen());
        assertEquals(0, world.a.descriptors());
        assertEquals(0, site.client.pendingTimers());
    }

    @Test
    void silentConnectsTimeOut() {
        site.serveNoting(10);
        world.there().silentConnect = true;
        ChannelFuture silent = site.connect(300, new ChannelInboundHandlerAdapter());
        world.run(299 * MS);
        assertFalse(silent.isDone());
        world.run(2 * MS);
        assertInstanceOf(ConnectTimeoutException.class, silent.cause());
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void aConnectThatIsResetBeforeTheLoopLooksHasFailed() {
        site.serveNoting(10);
        ChannelFuture connecting = site.connect(1_000, new ChannelInboundHandlerAdapter());
        world.run(50_000);
        site.client.pause(10 * MS);
        world.run(5 * MS);
        ((SimChannel) connecting.channel()).socket().fault(SimSocket.Fault.RESET);
        world.run(10 * MS);
        assertEquals("Connection reset by peer", connecting.cause().getMessage());
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void cancelledConnectsLeaveNothing() {
        site.serveNoting(10);
        ChannelFuture connecting = site.connect(300, new ChannelInboundHandlerAdapter());
        world.run(100_000);
        assertTrue(connecting.cancel(false));
        world.run(MS);
        assertFalse(connecting.channel().isOpen());
        assertEquals(0, world.a.descriptors());
        assertEquals(0, site.client.pendingTimers());
    }

    @Test
    void aBacklogFillsWhileTheServerStandsStill() {
        site.serveNoting(2);
        site.server.pause(3 * World.SECOND / 2);
        List<ChannelFuture> connects = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            connects.add(site.connect(5_000, new ChannelInboundHandlerAdapter()));
            world.run(2 * MS);
        }
        world.run(World.SECOND);
        assertEquals(
                List.of(true, true, false),
                connects.stream().map(ChannelFuture::isSuccess).toList());
        world.run(3 * World.SECOND);
        assertTrue(connects.get(2).isSuccess());
        assertEquals(3, site.served.size());
    }

    @Test
    void descriptorsRunOutOnConnect() {
        site.serveNoting(2);
        world.a.maxDescriptors(0);
        ChannelFuture failed = site.connect(1_000, new ChannelInboundHandlerAdapter());
        assertEquals("Too many open files", failed.cause().getCause().getMessage());
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void descriptorsRunOutOnAccept() {
        site.serveNoting(2);
        world.b.maxDescriptors(1);
        ChannelFuture waiting = site.connect(1_000, new ChannelInboundHandlerAdapter());
        world.run(10 * MS);
        assertTrue(waiting.isSuccess());
        assertEquals(0, site.served.size());
        assertFalse(site.listener.config().isAutoRead());
        world.b.maxDescriptors(9);
        world.run(World.SECOND);
        assertEquals(1, site.served.size());
    }

    @Test
    void knowsItsAddresses() {
        SimChannel channel = connect();
        assertEquals(World.at(2, 80), channel.remoteAddress());
        assertEquals(channel.localAddress(), site.served.get(0).remoteAddress());
        assertEquals(World.at(2, 80), site.listener.localAddress());
        assertEquals(site.listener, site.served.get(0).parent());
        assertNull(channel.parent());
        assertEquals("a-1", channel.id().asShortText());
    }

    @Test
    void aClosingProcessEndsItsChannelsAndThenItself() {
        SimChannel channel = connect();
        assertFalse(site.client.isTerminated());
        var done = site.client.shutdownGracefully();
        world.run(MS);
        assertTrue(done.isSuccess() && site.client.isTerminated() && !channel.isOpen());
        assertEquals(List.of("client inactive", "server inactive"), heard);
    }
}
