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
    public interface Hearing {
        void heard(NodeReply what, long at);
    }

    /** What becomes of a connection that a client opens. */
    public enum Door {
        OPEN,
        REFUSES,
        SILENT
    }

    final EventLoop loop;
    final RealTime time;
    final Hearing hearing;
    private final Set<RelayLink> links = new LinkedHashSet<>();
    private InetSocketAddress server;
    private Channel listening;
    private Door door = Door.OPEN;
    private long delay;
    private boolean halves;
    private boolean readOnly;
    private long carried;

    public Relay(EventLoop loop, RealTime time, InetSocketAddress server, Hearing hearing) {
        this.loop = loop;
        this.time = time;
        this.server = server;
        this.hearing = hearing;
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
        if (door == Door.REFUSES) {
            RelayLink.reset(client);
            return;
        }
        RelayLink link = new RelayLink(this, client);
        links.add(link);
        client.closeFuture().addListener(done -> links.remove(link));
        link.connect(server);
    }

    /** New connections go to another server from now on; those that are open stay. */
    void leadTo(InetSocketAddress other) {
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
    public void door(Door next) {
        door = next;
        if (door == Door.OPEN) {
            List.copyOf(links).forEach(RelayLink::pass);
        }
    }

    boolean silent() {
        return door == Door.SILENT;
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
    public void halves() {
        halves = true;
    }

    boolean takesHalf() {
        boolean now = halves;
        halves = false;
        return now;
    }

    /** New connections are told that the server behind is read-only, or not. */
    void readOnly(boolean isReadOnly) {
        readOnly = isReadOnly;
    }

    boolean readOnly() {
        return readOnly;
    }

    void carried(int bytes) {
        carried += bytes;
    }

    /** Bytes that were passed to clients. */
    long carried() {
        return carried;
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
