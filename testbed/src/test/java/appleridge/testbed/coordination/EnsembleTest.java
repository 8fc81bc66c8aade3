package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimChannel;
import appleridge.testbed.simnet.SimLoop;
import appleridge.testbed.simnet.Simulation;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import org.apache.jute.Record;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.ZooDefs.OpCode;
import org.apache.zookeeper.proto.ConnectRequest;
import org.apache.zookeeper.proto.ConnectResponse;
import org.apache.zookeeper.proto.CreateRequest;
import org.apache.zookeeper.proto.ExistsRequest;
import org.apache.zookeeper.proto.ReplyHeader;
import org.apache.zookeeper.proto.RequestHeader;
import org.apache.zookeeper.proto.SetDataRequest;
import org.junit.jupiter.api.Test;

/** Tests the ensemble without sockets, threads or a real clock. */
class EnsembleTest {
    private static final long MS = 1_000_000;
    private static final int TIMEOUT = 1000;
    private static final int TICK = CoordinationServer.Times.QUICK.tickMillis();
    private static final String PATH = "/a";

    private long now;
    private final Ensemble ensemble =
            new Ensemble(
                    CoordinationServer.Times.QUICK, new Ensemble.Time(() -> now, at -> at / MS), 3);

    /** A client's end of a connection; records the frames that it receives. */
    private final class Client implements MemberConnection.Transport {
        private final Member member;
        private final MemberConnection connection = new MemberConnection(this);
        private final Queue<byte[]> answers = new ArrayDeque<>();
        private boolean closed;
        private int xid;

        Client(int number) {
            member = ensemble.members().get(number);
            member.opened(connection);
            member.received(
                    connection, body(new ConnectRequest(0, 0, TIMEOUT, 0, new byte[16], false)));
        }

        @Override
        public void send(byte[] bytes) {
            answers.add(bytes);
        }

        @Override
        public void close() {
            closed = true;
        }

        private void ask(int type, Record record) {
            member.received(connection, body(new RequestHeader(++xid, type), record));
        }

        private ReplyHeader head() {
            return answers.isEmpty()
                    ? null
                    : new Wire.In(body(answers.remove())).read(new ReplyHeader());
        }
    }

    private static byte[] body(Record... records) {
        return body(Wire.frame(records));
    }

    private static byte[] body(byte[] frame) {
        return Arrays.copyOfRange(frame, Integer.BYTES, frame.length);
    }

    private static CreateRequest create(String path, CreateMode mode) {
        return new CreateRequest(path, new byte[0], Rules.OPEN_ACL, mode.toFlag());
    }

    private void start() {
        ensemble.members().forEach(each -> each.up(true));
    }

    private void advance(long millis) {
        for (long left = millis; left > 0; left -= TICK) {
            now += Math.min(left, TICK) * MS;
            ensemble.tick();
        }
    }

    @Test
    void sessionExpiresAfterItsTimeoutAndNotBefore() {
        start();
        Client client = new Client(0);
        assertEquals(
                TIMEOUT,
                new Wire.In(body(client.answers.remove()))
                        .read(new ConnectResponse())
                        .getTimeOut());
        client.ask(OpCode.create, create(PATH, CreateMode.EPHEMERAL));
        assertEquals(0, client.head().getErr());
        advance(TIMEOUT);
        assertTrue(!client.closed);
        client.ask(OpCode.ping, null);
        assertEquals(0, client.head().getErr());
        advance(TIMEOUT);
        assertTrue(!client.closed);
        advance(1);
        assertTrue(client.closed);
        Client other = new Client(1);
        other.answers.clear();
        other.ask(OpCode.exists, new ExistsRequest(PATH, false));
        assertEquals(Code.NONODE.intValue(), other.head().getErr());
    }

    /**
     * Guards against sessions that expire because the stand-in itself stalls, as on a busy machine:
     * the clients' messages wait unread during the stall, and the next tick would count it as
     * silence.
     */
    @Test
    void ownStallDoesNotExpireSessions() {
        start();
        advance(TICK);
        Client client = new Client(0);
        now += 5 * TIMEOUT * MS;
        ensemble.tick();
        assertTrue(!client.closed);
        advance(TIMEOUT + 2 * TICK);
        assertTrue(client.closed);
    }

    @Test
    void withoutAMajorityClientsAreDisconnectedAndSessionsDoNotExpire() {
        start();
        Client client = new Client(0);
        ensemble.members().get(1).up(false);
        assertTrue(!client.closed);
        ensemble.members().get(2).up(false);
        assertTrue(client.closed);
        assertTrue(new Client(0).closed);
        advance(10 * TIMEOUT);
        assertEquals(1, ensemble.sessions().size());
        ensemble.members().get(1).up(true);
        advance(TIMEOUT);
        assertEquals(1, ensemble.sessions().size());
        advance(1);
        assertEquals(0, ensemble.sessions().size());
    }

    @Test
    void responsesKeepTheirOrderBehindADeferredOne() {
        start();
        Client client = new Client(2);
        client.answers.clear();
        ensemble.members().get(2).lag(300 * MS);
        client.ask(OpCode.create, create(PATH, CreateMode.PERSISTENT));
        client.ask(OpCode.setData, new SetDataRequest(PATH, new byte[1], 0));
        client.ask(OpCode.exists, new ExistsRequest(PATH, false));
        advance(299);
        assertNull(client.head());
        advance(1);
        assertEquals(1, client.head().getXid());
        assertNull(client.head(), "the second request starts after the first response");
        advance(300);
        assertEquals(2, client.head().getXid());
        assertEquals(3, client.head().getXid());
    }

    @Test
    void requestsQueuedWhileHungAreAnsweredInOrder() {
        start();
        Client client = new Client(0);
        client.answers.clear();
        ensemble.members().get(0).hung(true);
        client.ask(OpCode.create, create(PATH, CreateMode.PERSISTENT));
        for (int i = 0; i < 20_000; i++) {
            client.ask(OpCode.setData, new SetDataRequest(PATH, new byte[1], i));
        }
        assertNull(client.head());
        ensemble.members().get(0).hung(false);
        for (int i = 1; i <= 20_001; i++) {
            ReplyHeader head = client.head();
            assertEquals(i, head.getXid());
            assertEquals(0, head.getErr());
        }
    }

    @Test
    void majorityWithoutTheLogDiscardsIt() {
        start();
        Client client = new Client(0);
        client.ask(OpCode.create, create(PATH, CreateMode.PERSISTENT));
        ensemble.members().forEach(each -> each.up(false));
        ensemble.members().get(0).remembers(0);
        ensemble.members().get(1).remembers(0);
        ensemble.members().get(0).up(true);
        assertTrue(!ensemble.inQuorum(ensemble.members().get(0)));
        ensemble.members().get(1).up(true);
        ensemble.members().get(2).up(true);
        assertEquals(0, ensemble.lastZxid());
        assertEquals(0, ensemble.members().get(2).applied());
        assertEquals(0, ensemble.sessions().size());
    }

    /** Guards against a stand-in that works only on real sockets and in real time. */
    @Test
    void worksOnTheSimulatedLoop() throws Exception {
        SeededRandom random = new SeededRandom(1);
        Simulation simulation = new Simulation(random.stream("ties"));
        Network network = new Network(simulation, random.stream("network"));
        SimLoop.Costs costs = new SimLoop.Costs(10_000, 2_000, 100);
        InetAddress there = InetAddress.getByAddress(new byte[] {10, 0, 0, 2});
        SimLoop client =
                new SimLoop(
                        simulation,
                        network.host(
                                "client", InetAddress.getByAddress(new byte[] {10, 0, 0, 1}), 100),
                        random.stream("client"),
                        costs);
        SimLoop server =
                new SimLoop(
                        simulation,
                        network.host("server", there, 100),
                        random.stream("server"),
                        costs);
        Ensemble simulated =
                new Ensemble(
                        CoordinationServer.Times.QUICK,
                        new Ensemble.Time(simulation::now, at -> at / MS),
                        1);
        simulated.members().get(0).up(true);
        new ServerBootstrap()
                .group(server)
                .channelFactory(server.serverFactory())
                .childHandler(new MemberSocket(simulated.members().get(0), null))
                .bind(new InetSocketAddress(there, 2181));
        simulation.runUntil(MS);
        List<byte[]> heard = new ArrayList<>();
        SimpleChannelInboundHandler<ByteBuf> recorder =
                new SimpleChannelInboundHandler<>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
                        heard.add(ByteBufUtil.getBytes(frame));
                    }
                };
        SimChannel channel =
                (SimChannel)
                        new Bootstrap()
                                .group(client)
                                .channelFactory(client.socketFactory())
                                .handler(
                                        new ChannelInitializer<SimChannel>() {
                                            @Override
                                            protected void initChannel(SimChannel each) {
                                                each.pipeline()
                                                        .addLast(new FrameDecoder(), recorder);
                                            }
                                        })
                                .connect(new InetSocketAddress(there, 2181))
                                .channel();
        simulation.runUntil(10 * MS);
        channel.write(
                Unpooled.wrappedBuffer(
                        Wire.frame(new ConnectRequest(0, 0, TIMEOUT, 0, new byte[16], false))));
        channel.writeAndFlush(
                Unpooled.wrappedBuffer(
                        Wire.frame(
                                new RequestHeader(1, OpCode.create),
                                create(PATH, CreateMode.EPHEMERAL))));
        simulation.runUntil(20 * MS);
        assertEquals(2, heard.size());
        assertEquals(2, new Wire.In(body(heard.get(1))).read(new ReplyHeader()).getZxid());
        while (simulation.now() < 100 * MS + TIMEOUT * MS) {
            simulation.runUntil(simulation.now() + TICK * MS);
            simulated.tick();
        }
        assertTrue(!channel.isOpen());
        assertEquals(3, simulated.lastZxid());
        assertEquals(List.of(), server.uncaughtExceptions());
        client.die();
        server.die();
    }
}
