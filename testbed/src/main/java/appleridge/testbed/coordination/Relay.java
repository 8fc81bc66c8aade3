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
 * A TCP relay between clients and a coordination server that injects network faults. It parses the
 * traffic, so that it can report when a node's state was written to the client's socket. Call its
 * methods on its event loop, except {@link #listen()} and {@link #address()}.
 */
public final class Relay {
    /**
     * Receives what servers report about nodes, once its last byte is written to the client's
     * socket; called on the relay's loop, with the time in nanoseconds.
     */
    public interface ReplyListener {
        void onReply(NodeReply reply, long at);
    }

    /**
     * What the relay does with connections. OPEN passes everything; REFUSES resets new connections;
     * SILENT accepts connections and holds all bytes back.
     */
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

    /** Starts listening on any free loopback port; blocks. */
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

    /** Sends new connections to another server; open connections stay. */
    void redirectTo(InetSocketAddress other) {
        server = other;
    }

    /** Delays all frames by this many nanoseconds from now on; their order is kept. */
    public void delay(long nanos) {
        delay = nanos;
    }

    long delay() {
        return delay;
    }

    /** Switches the mode; on OPEN, passes the bytes that were held back. */
    public void mode(Mode next) {
        mode = next;
        if (mode == Mode.OPEN) {
            List.copyOf(links).forEach(RelayLink::pass);
        }
    }

    boolean silent() {
        return mode == Mode.SILENT;
    }

    /** Closes all connections in order, after the bytes already written. */
    void cut() {
        List.copyOf(links).forEach(RelayLink::close);
    }

    /** Resets all connections. */
    public void reset() {
        List.copyOf(links).forEach(RelayLink::reset);
    }

    /** Passes only half of the next frame to a client, then resets its connection. */
    public void truncateNext() {
        truncateNext = true;
    }

    boolean consumeTruncation() {
        boolean truncate = truncateNext;
        truncateNext = false;
        return truncate;
    }

    /** Whether the relay tells new connections that the server is read-only. */
    void readOnly(boolean isReadOnly) {
        readOnly = isReadOnly;
    }

    boolean readOnly() {
        return readOnly;
    }

    void addBytesToClients(int bytes) {
        bytesToClients += bytes;
    }

    /** The number of bytes written to clients. */
    long bytesToClients() {
        return bytesToClients;
    }

    /**
     * The session ids of the open connections, in the order of connecting; 0 for one without a
     * session.
     */
    List<Long> sessions() {
        return links.stream().map(RelayLink::session).toList();
    }

    public void close() {
        listening.close();
        reset();
    }
}
