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
    private static final long MS = TwoHosts.MS;

    private final NettyPair pair = new NettyPair(1, NettyPair.COSTS);
    private final TwoHosts world = pair.world;
    private final List<String> events = pair.events;

    @AfterEach
    void noUncaughtExceptions() {
        assertEquals(List.of(), pair.client.uncaughtExceptions());
        assertEquals(List.of(), pair.server.uncaughtExceptions());
        pair.stop();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private SimChannel connect() {
        pair.serveRecording(10);
        SimChannel channel = pair.connectRecording();
        events.clear();
        return channel;
    }

    @Test
    void carriesHttpInOneByteSegments() {
        world.aToB().segment = 1;
        world.bToA().segment = 1;
        pair.serveHttp();
        pair.sendRequests(20, 100);
        world.run(TwoHosts.SECOND);
        assertEquals(20, pair.responses);
        assertEquals(0, pair.client.usedMemory());
        assertEquals(0, pair.server.usedMemory());
        assertEquals(0, world.a.descriptors());
        assertEquals(1, world.b.descriptors());
        assertEquals(List.of(pair.listener), pair.server.channels());
        assertEquals(List.of(), pair.client.channels());
    }

    @Test
    void writesBuffersOfAllKindsInOneCall() {
        SimChannel channel = connect();
        channel.write(bytes("heap "));
        channel.write(
                Unpooled.directBuffer().writeBytes("direct ".getBytes(StandardCharsets.US_ASCII)));
        channel.write(Unpooled.EMPTY_BUFFER);
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes("com"), bytes("posite")));
        world.run(MS);
        assertEquals(List.of("server reads heap direct composite"), events);
    }

    @Test
    void completesAWriteWhenItsLastByteIsInTheSendBuffer() {
        world.aToB().sendBuffer = 1_000;
        world.aToB().receiveBuffer = 1_000;
        SimChannel channel = connect();
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(500, 4_000));
        pair.server.pause(TwoHosts.SECOND);
        ChannelFuture first = channel.writeAndFlush(bytes("x".repeat(2_000)));
        ChannelFuture second = channel.writeAndFlush(bytes("y".repeat(5_000)));
        world.run(900 * MS);
        assertTrue(first.isSuccess());
        assertFalse(second.isDone());
        assertFalse(channel.isWritable());
        assertEquals("client writable false", events.get(events.size() - 1));
        world.run(TwoHosts.SECOND);
        assertTrue(second.isSuccess() && channel.isWritable());
        int length =
                events.stream()
                        .filter(each -> each.startsWith("server reads "))
                        .mapToInt(each -> each.length() - "server reads ".length())
                        .sum();
        assertEquals(7_000, length);
    }

    @Test
    void closesTheChannelAtTheEndOfTheStream() {
        SimChannel channel = connect();
        channel.write(bytes("bye"));
        channel.flush();
        channel.close();
        world.run(MS);
        assertEquals(List.of("client inactive", "server reads bye", "server inactive"), events);
        assertEquals(0, world.a.descriptors());
        assertEquals(1, world.b.descriptors());
    }

    @Test
    void reportsAHalfCloseIfAllowed() {
        SimChannel channel = connect();
        pair.served.get(0).config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        ChannelFuture shut = channel.shutdownOutput();
        world.run(MS);
        assertTrue(shut.isSuccess() && channel.isOutputShutdown() && !channel.isInputShutdown());
        assertTrue(pair.served.get(0).isInputShutdown());
        assertTrue(events.contains("server ChannelInputShutdownEvent"), events.toString());
        pair.served.get(0).writeAndFlush(bytes("still there"));
        world.run(MS);
        assertTrue(events.contains("client reads still there"));
        ChannelFuture late = channel.writeAndFlush(bytes("x"));
        world.run(MS);
        assertFalse(late.isSuccess());
        assertTrue(channel.shutdown().channel().isActive());
        world.run(MS);
        assertTrue(channel.isShutdown());
    }

    @Test
    void reportsAResetAsAnExceptionAndThenInactive() {
        SimChannel channel = connect();
        channel.socket().fault(SimSocket.Fault.RESET);
        world.run(MS);
        assertEquals(
                List.of(
                        "client Connection reset by peer",
                        "client inactive",
                        "server Connection reset by peer",
                        "server inactive"),
                events.stream().sorted().toList());
    }

    @Test
    void readsOnlyOnRequestWithoutAutoRead() {
        SimChannel channel = connect();
        channel.config().setAutoRead(false);
        pair.served.get(0).writeAndFlush(bytes("waits"));
        world.run(MS);
        assertEquals(List.of(), events);
        channel.read();
        world.run(MS);
        assertEquals(List.of("client reads waits"), events);
        pair.served.get(0).writeAndFlush(bytes("at once"));
        world.run(MS);
        pair.client.execute(channel::readNow);
        world.run(MS);
        assertEquals("client reads at once", events.get(1));
    }

    @Test
    void failsARefusedConnect() {
        ChannelFuture refused = pair.connect(1_000, new ChannelInboundHandlerAdapter());
        world.run(MS);
        assertInstanceOf(ConnectException.class, refused.cause());
        assertFalse(refused.channel().isOpen());
        assertEquals(0, world.a.descriptors());
        assertEquals(0, pair.client.pendingTimers());
    }

    @Test
    void timesOutAConnectWithoutResponse() {
        pair.serveRecording(10);
        world.aToB().silentConnect = true;
        ChannelFuture silent = pair.connect(300, new ChannelInboundHandlerAdapter());
        world.run(299 * MS);
        assertFalse(silent.isDone());
        world.run(2 * MS);
        assertInstanceOf(ConnectTimeoutException.class, silent.cause());
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void failsAConnectThatIsResetBeforeTheLoopHandlesIt() {
        pair.serveRecording(10);
        ChannelFuture connecting = pair.connect(1_000, new ChannelInboundHandlerAdapter());
        world.run(50_000);
        pair.client.pause(10 * MS);
        world.run(5 * MS);
        ((SimChannel) connecting.channel()).socket().fault(SimSocket.Fault.RESET);
        world.run(10 * MS);
        assertEquals("Connection reset by peer", connecting.cause().getMessage());
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void releasesEverythingOfACancelledConnect() {
        pair.serveRecording(10);
        ChannelFuture connecting = pair.connect(300, new ChannelInboundHandlerAdapter());
        world.run(100_000);
        assertTrue(connecting.cancel(false));
        world.run(MS);
        assertFalse(connecting.channel().isOpen());
        assertEquals(0, world.a.descriptors());
        assertEquals(0, pair.client.pendingTimers());
    }

    @Test
    void fillsTheBacklogWhileTheServerIsPaused() {
        pair.serveRecording(2);
        pair.server.pause(3 * TwoHosts.SECOND / 2);
        List<ChannelFuture> connects = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            connects.add(pair.connect(5_000, new ChannelInboundHandlerAdapter()));
            world.run(2 * MS);
        }
        world.run(TwoHosts.SECOND);
        assertEquals(
                List.of(true, true, false),
                connects.stream().map(ChannelFuture::isSuccess).toList());
        world.run(3 * TwoHosts.SECOND);
        assertTrue(connects.get(2).isSuccess());
        assertEquals(3, pair.served.size());
    }

    @Test
    void failsAConnectWithoutDescriptors() {
        pair.serveRecording(2);
        world.a.maxDescriptors(0);
        ChannelFuture failed = pair.connect(1_000, new ChannelInboundHandlerAdapter());
        assertEquals("Too many open files", failed.cause().getCause().getMessage());
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void stopsAcceptingWithoutDescriptors() {
        pair.serveRecording(2);
        world.b.maxDescriptors(1);
        ChannelFuture waiting = pair.connect(1_000, new ChannelInboundHandlerAdapter());
        world.run(10 * MS);
        assertTrue(waiting.isSuccess());
        assertEquals(0, pair.served.size());
        assertFalse(pair.listener.config().isAutoRead());
        world.b.maxDescriptors(9);
        world.run(TwoHosts.SECOND);
        assertEquals(1, pair.served.size());
    }

    @Test
    void knowsItsAddresses() {
        SimChannel channel = connect();
        assertEquals(TwoHosts.at(2, 80), channel.remoteAddress());
        assertEquals(channel.localAddress(), pair.served.get(0).remoteAddress());
        assertEquals(TwoHosts.at(2, 80), pair.listener.localAddress());
        assertEquals(pair.listener, pair.served.get(0).parent());
        assertNull(channel.parent());
        assertEquals("a-1", channel.id().asShortText());
    }

    @Test
    void closesItsChannelsOnGracefulShutdown() {
        SimChannel channel = connect();
        assertFalse(pair.client.isTerminated());
        var done = pair.client.shutdownGracefully();
        world.run(MS);
        assertTrue(done.isSuccess() && pair.client.isTerminated() && !channel.isOpen());
        assertEquals(List.of("client inactive", "server inactive"), events);
    }
}
