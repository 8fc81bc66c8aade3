package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.NotYetConnectedException;

/**
 * One end of a connection. Events are delivered from the simulation's steps, never from within a
 * call to the same end.
 */
public final class SimSocket {
    private static final Events NO_EVENTS = new Events() {};

    /** Callbacks to the owner of a socket. */
    public interface Events {
        default void connected() {}

        default void failed(IOException why) {}

        /** Bytes, the end of the stream or a reset can be read. */
        default void readable() {}

        /** The send buffer has room again after a short write. */
        default void writable() {}
    }

    /** Faults that can be injected into a connection. */
    public enum Fault {
        /** Resets both ends now; segments in flight are lost. */
        RESET,
        /** Resets each end after the segments in flight to it have arrived. */
        RESET_AFTER_DELIVERY,
        /** Half-closes this end, as if its process had shut down its output. */
        END,
        /** Nothing arrives in either direction from now on, not even a reset. */
        BLACK_HOLE,
        /** Nothing that this end sends from now on arrives; it still receives. */
        SILENCE,
        /** The receive window of this end stays closed from now on. */
        STALL_READS
    }

    private final Network network;
    private final Host host;
    private final Host peerHost;
    private final InetSocketAddress local;
    private final InetSocketAddress remote;
    private final long id;
    private final int epoch;
    private final SimListener listener;
    private Events events = NO_EVENTS;
    private SimSocket peer;
    private Pipe in;
    private Pipe out;
    private Runnable abandoned;
    private IOException failure;
    private boolean established;
    private boolean accepted;
    private boolean open = true;
    private boolean gone;
    private boolean ended;
    private boolean inputShut;
    private boolean outputShut;
    private boolean mute;
    private long breakAt = -1;
    private Runnable onBreak = () -> {};
    private long written;
    private long read;

    /** An attachment for the use of stand-ins and invariants. */
    public Object tag;

    /** `listener` is the one that accepts this end; null for the connecting end. */
    SimSocket(
            Host host,
            Host peerHost,
            InetSocketAddress local,
            InetSocketAddress remote,
            long id,
            SimListener listener) {
        this.host = host;
        this.peerHost = peerHost;
        this.local = local;
        this.remote = remote;
        this.id = id;
        this.listener = listener;
        network = host.network();
        epoch = host.epoch();
    }

    /**
     * Sets the receiver of events. If something can be read already, `readable` is delivered at the
     * current simulated time.
     */
    public void events(Events receiver) {
        events = receiver;
        if (isReadable()) {
            network.simulation().after(0, this::onInput);
        }
    }

    /**
     * Copies as many bytes as the send buffer has room for and returns their number, possibly 0.
     * Throws if the socket is reset or closed.
     */
    public int write(byte[] from, int offset, int length) throws IOException {
        checkOpen();
        if (!established) {
            throw new NotYetConnectedException();
        }
        if (failure != null) {
            throw new IOException(failure.getMessage());
        }
        if (outputShut) {
            throw new IOException("Broken pipe");
        }
        out.wantsRoom(false);
        int done = 0;
        while (done < length && open && !gone) {
            int part = Math.min(length - done, out.room());
            if (part <= 0) {
                out.wantsRoom(true);
                break;
            }
            out.put(from, offset + done, part);
            written += part;
            network.written(this, from, offset + done, part);
            out.pump();
            done += part;
        }
        return done;
    }

    /**
     * Returns the number of bytes read; 0: none available; -1: end of stream. Throws after a reset.
     */
    public int read(byte[] into, int offset, int length) throws IOException {
        checkOpen();
        int part = in == null ? 0 : Math.min(length, in.available());
        if (part > 0) {
            in.take(into, offset, part);
            read += part;
            network.read(this, into, offset, part);
            return part;
        }
        if (failure != null) {
            throw new IOException(failure.getMessage());
        }
        return inputShut && length > 0 ? -1 : 0;
    }

    public int available() {
        return in == null ? 0 : in.available();
    }

    /** Whether a read would return bytes or the end of the stream, or throw. */
    public boolean isReadable() {
        return open && (available() > 0 || inputShut || failure != null);
    }

    /** Whether a write would accept bytes, or throw. */
    public boolean isWritable() {
        return open && established && (failure != null || outputShut || !out.wantsRoom());
    }

    /** Reads return what has arrived and then the end of the stream; the peer is not notified. */
    public void shutdownInput() {
        inputShut = true;
    }

    public void shutdownOutput() {
        if (open && established && !outputShut && failure == null) {
            outputShut = true;
            out.end();
        }
    }

    /**
     * Closes the socket. With unread input the peer is reset, otherwise it reads the end of stream.
     */
    public void close() {
        if (!open) {
            return;
        }
        if (established && failure == null && available() > 0) {
            reset();
            return;
        }
        if (established) {
            shutdownOutput();
        }
        release("closed");
    }

    /**
     * Closes the socket and resets the peer. Unsent bytes are lost, and with probability {@link
     * NetworkConditions#resetDiscards} also the segments in flight.
     */
    public void reset() {
        if (!open) {
            return;
        }
        if (established && failure == null) {
            failure = new IOException("Connection reset");
            gone = true;
            in.discard();
            out.reset(network.chance().hits(network.conditions(host, peerHost).resetDiscards));
        }
        release("reset");
    }

    /** Whether the socket is not closed: connecting, connected, or reset but not closed yet. */
    public boolean isOpen() {
        return open;
    }

    /** Whether the handshake is complete. */
    public boolean isEstablished() {
        return established;
    }

    /** Whether the listening process has accepted the connection; the same at both ends. */
    public boolean isAccepted() {
        return listener != null ? accepted : peer != null && peer.accepted;
    }

    /** Whether this is the listening side's end, accepted or still in the backlog. */
    public boolean isServerEnd() {
        return listener != null;
    }

    /** Whether the end of the stream has arrived; bytes before it may still be unread. */
    public boolean inputEnded() {
        return inputShut;
    }

    /** Whether the connection was reset from either side or its connect failed. */
    public boolean isReset() {
        return failure != null;
    }

    public Host host() {
        return host;
    }

    public Host peerHost() {
        return peerHost;
    }

    public InetSocketAddress local() {
        return local;
    }

    public InetSocketAddress remote() {
        return remote;
    }

    /** The other end; null before the SYN arrives. Only for fault injection and invariants. */
    public SimSocket peer() {
        return peer;
    }

    /** The connection's number, the same at both ends; counted from 1 within a network. */
    public long id() {
        return id;
    }

    public long bytesWritten() {
        return written;
    }

    public long bytesRead() {
        return read;
    }

    /** When the last byte returned by a read was written by the peer. */
    public long sentAt() {
        return in == null ? 0 : in.lastRead();
    }

    /** Injects a fault; events follow at the same simulated time, after the current step. */
    public void fault(Fault fault) {
        switch (fault) {
            case RESET -> {
                breakNow();
                if (peer != null) {
                    peer.breakNow();
                }
            }
            case RESET_AFTER_DELIVERY -> {
                if (established) {
                    out.breakNow();
                    in.breakNow();
                } else {
                    breakNow();
                }
            }
            case END -> shutdownOutput();
            case BLACK_HOLE -> {
                silence();
                if (peer != null) {
                    peer.silence();
                }
            }
            case SILENCE -> silence();
            case STALL_READS -> {
                if (in != null) {
                    in.shutWindow();
                }
            }
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    /**
     * Breaks the connection at this position of the stream that this end sends: bytes before it are
     * delivered, and both ends are reset when the byte at it would have arrived; immediately if
     * that byte is already transmitted.
     */
    public void resetAtByte(long position) {
        resetAtByte(position, () -> {});
    }

    /** Like {@link #resetAtByte(long)}; `callback` runs just before the connection breaks. */
    public void resetAtByte(long position, Runnable callback) {
        breakAt = position;
        onBreak = callback;
        if (out != null && !out.breakAt(position, callback)) {
            callback.run();
            fault(Fault.RESET);
        }
    }

    /** How many of the written bytes have left the send buffer. */
    public long bytesTransmitted() {
        return out == null ? 0 : out.transmitted();
    }

    @Override
    public String toString() {
        return "#"
                + id
                + " "
                + host.name()
                + ":"
                + local.getPort()
                + " - "
                + peerHost.name()
                + ":"
                + remote.getPort();
    }

    // ---- called by the network

    /** Links both ends when the client's SYN arrives. */
    static void join(SimSocket client, SimSocket server) {
        client.out = new Pipe(client, server);
        client.in = new Pipe(server, client);
        server.out = client.in;
        server.in = client.out;
        client.peer = server;
        server.peer = client;
        server.established = true;
        if (client.breakAt >= 0) {
            client.out.breakAt(client.breakAt, client.onBreak);
        }
    }

    void onAbandoned(Runnable callback) {
        abandoned = callback;
    }

    /** Completes the handshake at the connecting end. */
    void establish() {
        established = true;
        network.connected(this);
        if (open) {
            out.handshake();
            events.connected();
        }
    }

    void fail(IOException why) {
        if (open && !established) {
            failure = why;
            gone = true;
            release("failed");
            events.failed(why);
        }
    }

    boolean mayEnterBacklog() {
        return isForgotten() || !listener.isOpen() || !listener.isFull();
    }

    /** Adds the listening end to its listener's backlog. */
    void enterBacklog() {
        if (isForgotten() || !listener.isOpen() || !open) {
            rejectSegment();
        } else {
            listener.enterBacklog(this);
        }
    }

    void accept() {
        accepted = true;
        host.add(this);
        network.accepted(this);
    }

    /** Whether the machine has lost this connection because it vanished. */
    boolean isForgotten() {
        return epoch != host.epoch();
    }

    boolean takesInput() {
        return open && !gone && !isForgotten();
    }

    void onInput() {
        if (open) {
            events.readable();
        }
    }

    void onRoom() {
        if (open) {
            events.writable();
        }
    }

    /** Sends a reset in response to a segment for a connection that no longer exists. */
    void rejectSegment() {
        gone = true;
        if (!peer.gone) {
            out.reset(false);
        }
    }

    void onEnd() {
        if (takesInput()) {
            inputShut = true;
            events.readable();
        } else if (gone || isForgotten()) {
            rejectSegment();
        }
    }

    void onReset(boolean discard) {
        if (gone) {
            return;
        }
        markReset(discard);
        notifyOwner();
    }

    /** Sends the reset of a break back to the sender, unless this end is already reset. */
    void propagateBreak() {
        if (!gone) {
            out.breakNow();
        }
    }

    /** Resets this end because its machine has lost the connection. */
    void loseConnection() {
        if (!established) {
            fail(new IOException("Connection reset"));
            return;
        }
        out.kill();
        markReset(network.chance().hits(network.conditions(peerHost, host).resetDiscards));
        network.simulation().after(0, this::notifyOwner);
    }

    /** Whether the connection no longer exists; its process may still read received bytes. */
    boolean isGone() {
        return gone;
    }

    /** Whether nothing that this end sends arrives. */
    boolean isMute() {
        return mute;
    }

    private void silence() {
        mute = true;
        if (out != null) {
            out.silence();
        }
    }

    private void breakNow() {
        if (!established) {
            network.simulation().after(0, () -> fail(new IOException("Connection reset by peer")));
        } else if (!gone) {
            out.kill();
            in.kill();
            markReset(network.chance().hits(network.conditions(peerHost, host).resetDiscards));
            network.simulation().after(0, this::notifyOwner);
        }
    }

    private void markReset(boolean discard) {
        gone = true;
        failure = new IOException("Connection reset by peer");
        if (discard) {
            in.discard();
        }
        out.stop();
        notifyEnded("reset");
    }

    private void notifyOwner() {
        if (open) {
            events.readable();
            events.writable();
        }
    }

    private void release(String how) {
        open = false;
        if (listener == null || accepted) {
            host.remove(this);
        }
        if (!established && abandoned != null) {
            abandoned.run();
        }
        notifyEnded(how);
    }

    private void notifyEnded(String how) {
        if (!ended) {
            ended = true;
            network.ended(this, how);
        }
    }

    private void checkOpen() throws IOException {
        if (!open) {
            throw new ClosedChannelException();
        }
    }
}
