package appleridge.testbed.coordination;

import appleridge.testbed.standin.RealTime;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Stands between a client and a coordination server, and does what networks do. It reads what it
 * carries, so that it can tell when word of a node was with the client's socket. Lives on its event
 * loop; only {@link #listen()} and {@link #address()} are called from elsewhere.
 */
public final class Relay {
    /**
     * Told what servers said, when the last byte of it was with the socket, on the relay's loop.
     */
    public interface ReplyListener {
        void onReply(NodeReply what, long at);
    }

    /** What becomes of a connection that a client opens. */
    public enum Mode {
        OPEN,
        REFUSES,
        SILENT
    }

    final EventLoop loop;
    final RealTime time;
    final ReplyListener replyListener;
    private final Set<RelayLink> links = new LinkedHashSet<>();
    private InetSocketAddress server;
    private Channel listening;
    private Mode mode = Mode.OPEN;
    private long delay;
    private boolean truncateNext;
    private boolean readOnly;
    private long bytesToClients;

    public Relay(
            EventLoop loop, RealTime time, InetSocketAddress server, ReplyListener replyListener) {
        this.loop = loop;
        this.time = time;
        this.server = server;
        this.replyListener = replyListener;
    }

    /** Begins, on any free port; blocks. */
    public void listen() throws InterruptedException {
        listening =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel client) {
                                        accept(client);
                                    }
                                })
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    private void accept(Channel client) {
        if (mode == Mode.REFUSES) {
            RelayLink.reset(client);
            return;
        }
        RelayLink link = new RelayLink(this, client);
        links.add(link);
        client.closeFuture().addListener(done -> links.remove(link));
        link.connect(server);
    }

    /** New connections go to another server from now on; those that are open stay. */
    void redirectTo(InetSocketAddress other) {
        server = other;
    }

    /** All that passes from now on takes so long, in nanoseconds, and stays in order. */
    public void delay(long nanos) {
        delay = nanos;
    }

    long delay() {
        return delay;
    }

    /**
     * Opens, or refuses new connections, or keeps all bytes of new and old ones until it is open
     * again.
     */
    public void mode(Mode next) {
        mode = next;
        if (mode == Mode.OPEN) {
            List.copyOf(links).forEach(RelayLink::pass);
        }
    }

    boolean silent() {
        return mode == Mode.SILENT;
    }

    /** Ends all connections in order, with what was written. */
    void cut() {
        List.copyOf(links).forEach(RelayLink::close);
    }

    /** Breaks all connections. */
    public void reset() {
        List.copyOf(links).forEach(RelayLink::reset);
    }

    /** Of the next word to a client only half is passed; then its connection breaks. */
    public void truncateNext() {
        truncateNext = true;
    }

    boolean consumeTruncation() {
        boolean now = truncateNext;
        truncateNext = false;
        return now;
    }

    /** New connections are told that the server behind is read-only, or not. */
    void readOnly(boolean isReadOnly) {
        readOnly = isReadOnly;
    }

    boolean readOnly() {
        return readOnly;
    }

    void bytesToClients(int bytes) {
        bytesToClients += bytes;
    }

    /** Bytes that were passed to clients. */
    long bytesToClients() {
        return bytesToClients;
    }

    /** The sessions of those that are connected, 0 for one that has none yet. */
    List<Long> sessions() {
        return links.stream().map(RelayLink::session).toList();
    }

    public void close() {
        listening.close();
        reset();
    }
}
