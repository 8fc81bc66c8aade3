package appleridge.testbed.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Clients that send malformed requests; each must get an error response or a close. */
public final class BadClients {
    /** The reported ending of a client that got neither an error nor a close in time. */
    public static final String LEFT_WAITING = "left waiting";

    private static final String HEAD = " HTTP/1.1\r\nHost: orders.svc\r\n";
    private static final String CHECK = "GET /api/stock-check" + HEAD + "X-Class: stock-check\r\n";
    private static final String CONFIRM =
            "POST /api/order-confirm"
                    + HEAD
                    + "X-Class: order-confirm\r\n"
                    + "X-Request-Id: bad-client\r\n"
                    + "Idempotency-Key: bad-client\r\n"
                    + "X-Deadline: 1.0\r\n";

    private final EventLoop loop;
    private final InetSocketAddress sidecar;
    private final long patience;
    private final StandInListener events;
    private final Map<String, String> requests = new LinkedHashMap<>();
    private int open;

    /** `patience` is how long an error response or a close may take, in nanoseconds. */
    public BadClients(
            EventLoop loop, InetSocketAddress sidecar, long patience, StandInListener events) {
        this.loop = loop;
        this.sidecar = sidecar;
        this.patience = patience;
        this.events = events;
        requests.put("noise", "\u0001\u0002 what is this?\r\n\r\n");
        requests.put("half a request", "POST /api/order-confirm HTTP/1.1\r\nX-Requ");
        requests.put(
                "a class that does not exist",
                "GET /api/gold"
                        + HEAD
                        + "X-Class: gold\r\nX-Request-Id: bad-client\r\nX-Deadline: 1.0\r\n\r\n");
        requests.put("no id", CHECK + "X-Deadline: 0.4\r\n\r\n");
        requests.put(
                "a deadline that is no number",
                CHECK + "X-Request-Id: bad-client\r\nX-Deadline: soon\r\n\r\n");
        requests.put("a huge length", CONFIRM + "Content-Length: 62914560\r\n\r\n{}");
        requests.put(
                "two ways to read a length",
                CONFIRM + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    }

    /** Opens a connection for each kind of malformed request and sends it. */
    public void sendAll() {
        requests.forEach(this::connect);
    }

    /** The number of clients that still wait for an error response or a close. */
    public int open() {
        return open;
    }

    private void connect(String what, String text) {
        open++;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(new BadRequest(what, text));
                            }
                        })
                .connect(sidecar)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                ended(what, "no connection", false);
                            }
                        });
    }

    private void ended(String what, String how, boolean served) {
        open--;
        events.badClient(what, how, served);
    }

    private final class BadRequest extends SimpleChannelInboundHandler<ByteBuf> {
        private final String what;
        private final String text;
        private boolean finished;

        BadRequest(String what, String text) {
            this.what = what;
            this.text = text;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            loop.schedule(() -> end(ctx, LEFT_WAITING, false), patience, TimeUnit.NANOSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            String start = bytes.toString(StandardCharsets.ISO_8859_1);
            boolean served = start.startsWith("HTTP/1.1 2");
            end(ctx, served ? "served" : "turned away", served);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(ctx, "closed", false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(ctx, "closed", false);
        }

        private void end(ChannelHandlerContext ctx, String how, boolean served) {
            if (!finished) {
                finished = true;
                ended(what, how, served);
                ctx.close();
            }
        }
    }
}
