package appleridge.admin.protocol;

import appleridge.admin.AdminCallHandler;
import appleridge.request.Scheduler;
import appleridge.transport.AcceptFailures;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Listens for operators: one line a connection, one answer, the end. What is kept back for it is a
 * few descriptors and, at each turn of the loop, the time for a few callers. Danger: it is asked
 * most when all goes wrong, and who only connects must not keep out who asks.
 */
public final class AdminServer {
    /** Callers at once: of the descriptors that neither clients nor upstreams may use. */
    static final int MOST_CALLERS = 12;

    /** So long a caller may hesitate, though others wait. */
    private static final long HESITATES = TimeUnit.MILLISECONDS.toNanos(10);

    /** So long one may take to make a call, where nobody waits. */
    private static final long LONGEST = TimeUnit.SECONDS.toNanos(5);

    /** After listening failed, as where the sidecar before this one still does. */
    private static final long LISTEN_AGAIN = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int ACCEPTS_AT_ONCE = 4;
    private static final int BACKLOG = 1024;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final InetSocketAddress address;
    private final AdminCallHandler answers;
    private final Set<AdminConnection> callers = new LinkedHashSet<>();
    private Channel listener;
    private Scheduler.ScheduledTask next = () -> {};
    private boolean told;
    private boolean closed;

    /** Made on the loop; listens from {@link #open} on. */
    public AdminServer(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            AdminCallHandler answers) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.answers = answers;
    }

    /** Begins to listen, and goes on trying until it does. */
    public void open() {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(loop.executor(), loop.executor())
                        .channelFactory(sockets::listening)
                        .handler(new AcceptFailures(loop, this::acceptFailed))
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new AdminConnection(
                                                                AdminServer.this, channel));
                                    }
                                })
                        .bind(address);
        binding.addListener(
                done -> {
                    if (done.isSuccess()) {
                        listening(binding.channel());
                    } else if (!closed) {
                        if (!told) {
                            told = true;
                            loop.log()
                                    .warning(
                                            "no operators' line at "
                                                    + address
                                                    + " yet: "
                                                    + done.cause().getMessage());
                        }
                        next = loop.after(LISTEN_AGAIN, this::open);
                    }
                });
    }

    private void listening(Channel channel) {
        listener = channel;
        listener.config()
                .<MaxMessagesRecvByteBufAllocator>getRecvByteBufAllocator()
                .maxMessagesPerRead(ACCEPTS_AT_ONCE);
        if (closed) {
            channel.close();
        } else if (told) {
            loop.log().info("operators' line at " + address);
        }
    }

    /** Ends listening and all calls. */
    public void close() {
        closed = true;
        next.cancel();
        if (listener != null) {
            listener.close();
        }
        Set.copyOf(callers).forEach(AdminConnection::close);
    }

    AdminCallHandler answers() {
        return answers;
    }

    SidecarEventLoop loop() {
        return loop;
    }

    void opened(AdminConnection caller) {
        callers.add(caller);
        caller.hangUpAfter(LONGEST);
        bound();
    }

    void closed(AdminConnection caller) {
        callers.remove(caller);
        bound();
    }

    /**
     * Where callers wait, who has said nothing for longest goes, as soon as it has had its moment.
     */
    private void bound() {
        if (callers.size() < MOST_CALLERS) {
            accept(true);
            return;
        }
        accept(false);
        AdminConnection oldest = callers.iterator().next();
        long stood = loop.nanoTime() - oldest.since();
        next.cancel();
        next =
                loop.after(
                        Math.max(0, HESITATES - stood),
                        () -> {
                            if (callers.size() >= MOST_CALLERS) {
                                callers.iterator().next().late();
                            }
                        });
    }

    /** No descriptor was left; some soon are. */
    private void acceptFailed() {
        accept(false);
        loop.after(LISTEN_AGAIN, this::bound);
    }

    private void accept(boolean on) {
        if (listener != null) {
            listener.config().setAutoRead(on && !closed);
        }
    }
}
