package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.NotYetConnectedException;

/**
 * One end of a connection. Its events are told from within the simulation's steps, never from
 * within a call of the same end's methods.
 */
public final class SimSocket {
    private static final Events NOBODY = new Events() {};

    /** What its owner hears. */
    public interface Events {
        default void connected() {}

        default void failed(IOException why) {}

        /** Bytes, the end or a reset wait to be read. */
        default void readable() {}

        /** There is room after a short write. */
        default void writable() {}
    }

    /** What can be done to a connection from outside. */
    public enum Fault {
        /** Both ends are reset now, and all that is on the way is lost. */
        RESET,
        /** What is on the way in both directions still arrives; behind it each end is reset. */
        RESET_AFTER_DELIVERY,
        /** A half close from this end, as if its process had shut down its output. */
        END,
        /** Silence in both directions from now on; nothing is ever heard, a reset neither. */
        BLACK_HOLE,
        /** What this end sends from now on never arrives; it still hears the other. */
        SILENCE,
        /** This end's window stays shut from now on. */
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
    private Events events = NOBODY;
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
    private Runnable whenBreaking = () -> {};
    private long written;
    private long read;

    /** What its owner, a judge or a stand-in, wants to find here again. */
    public Object tag;

    /** With a listener: the end which that one will accept. */
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
     * From now on these are told; if something waits to be read already, they hear it at this
     * instant.
     */
    public void events(Events told) {
        events = told;
        if (isReadable()) {
            network.simulation().after(0, this::hasInput);
        }
    }

    /** Copies what the send buffer has room for, from nothing to all; throws if reset or closed. */
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

    /** 0: nothing there; -1: the end; throws after a reset. */
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

    /** Whether a read would give bytes, the end or a reset. */
    public boolean isReadable() {
        return open && (available() > 0 || inputShut || failure != null);
    }

    /** Whether a write would take something, or throw. */
    public boolean isWritable() {
        return open && established && (failure != null || outputShut || !out.wantsRoom());
    }

    /** Reads give what has arrived and then the end; the peer hears nothing of it. */
    public void shutdownInput() {
        inputShut = true;
    }

    public void shutdownOutput() {
        if (open && established && !outputShut && failure == null) {
            outputShut = true;
            out.end();
        }
    }

    /** With unread input the peer hears a reset, else the end behind all bytes. */
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
        leave("closed");
    }

    /**
     * Closes at once with a reset to the peer; what was not sent is lost, mostly also what is on
     * the way.
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
        leave("reset");
    }

    /** Whether its process holds it: connecting, connected, or reset and not yet closed. */
    public boolean isOpen() {
        return open;
    }

    /** Whether the handshake is over. */
    public boolean isEstablished() {
        return established;
    }

    /**
     * At the listening end whether its process has taken it; at the connecting end whether the
     * other has.
     */
    public boolean isAccepted() {
        return listener != null ? accepted : peer != null && peer.accepted;
    }

    /** Whether a process took this end from a listener or is to. */
    public boolean isServerEnd() {
        return listener != null;
    }

    /** Whether the end has arrived; bytes before it may still wait to be read. */
    public boolean inputEnded() {
        return inputShut;
    }

    /** Whether a reset was heard, or made here. */
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

    /** The other end, null before there is one; for faults and judges alone. */
    public SimSocket peer() {
        return peer;
    }

    /** Shared by both ends; counts up from 1 within a network. */
    public long id() {
        return id;
    }

    public long bytesWritten() {
        return written;
    }

    public long bytesRead() {
        return read;
    }

    /** When the last byte that a read has returned was put into the peer's send buffer. */
    public long sentAt() {
        return in == null ? 0 : in.lastRead();
    }

    /** Strikes this connection; those told hear of it at this instant, after what runs now. */
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
            default -> throw new IllegalArgumentException();
        }
    }

    /**
     * The connection breaks at this position of what this end sends: bytes before it are delivered,
     * that one is not, and both ends are reset as soon as it would have arrived; at once if that
     * byte has left.
     */
    public void resetAtByte(long position) {
        resetAtByte(position, () -> {});
    }

    /** The same, telling of the moment in which it breaks, just before it does. */
    public void resetAtByte(long position, Runnable told) {
        breakAt = position;
        whenBreaking = told;
        if (out != null && !out.breakAt(position, told)) {
            told.run();
            fault(Fault.RESET);
        }
    }

    /** How many of the bytes written have left this end. */
    public long bytesTransmitted() {
        return out == null ? 0 : out.left();
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

    // ---- the system's side

    /** Both ends know each other from the moment in which the first word of the client arrives. */
    static void join(SimSocket client, SimSocket server) {
        client.out = new Pipe(client, server);
        client.in = new Pipe(server, client);
        server.out = client.in;
        server.in = client.out;
        client.peer = server;
        server.peer = client;
        server.established = true;
        if (client.breakAt >= 0) {
            client.out.breakAt(client.breakAt, client.whenBreaking);
        }
    }

    void onAbandoned(Runnable told) {
        abandoned = told;
    }

    /** The connecting end has heard that it is welcome. */
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
            leave("failed");
            events.failed(why);
        }
    }

    boolean mayEnter() {
        return isForgotten() || !listener.isOpen() || !listener.isFull();
    }

    /** The listening end enters its listener's backlog. */
    void enter() {
        if (isForgotten() || !listener.isOpen() || !open) {
            refuseInput();
        } else {
            listener.enter(this);
        }
    }

    void accept() {
        accepted = true;
        host.hold(this);
        network.accepted(this);
    }

    /** Whether the machine has lost this connection, having been away. */
    boolean isForgotten() {
        return epoch != host.epoch();
    }

    boolean takesInput() {
        return open && !gone && !isForgotten();
    }

    void hasInput() {
        if (open) {
            events.readable();
        }
    }

    void hasRoom() {
        if (open) {
            events.writable();
        }
    }

    /** Something came for a connection that isn't any more: a reset is the answer. */
    void refuseInput() {
        gone = true;
        if (!peer.gone) {
            out.reset(false);
        }
    }

    void hearEnd() {
        if (takesInput()) {
            inputShut = true;
            events.readable();
        } else if (gone || isForgotten()) {
            refuseInput();
        }
    }

    void hearReset(boolean discard) {
        if (gone) {
            return;
        }
        breakOff(discard);
        tell();
    }

    /** A break on the way is told to the sender, unless it is on its way to it. */
    void breakBack() {
        if (!gone) {
            out.breakNow();
        }
    }

    /** The machine has come back and knows nothing of this connection. */
    void forget() {
        if (!established) {
            fail(new IOException("Connection reset"));
            return;
        }
        out.kill();
        breakOff(network.chance().hits(network.conditions(peerHost, host).resetDiscards));
        network.simulation().after(0, this::tell);
    }

    /** Whether nothing of it is left, except what its process may still read. */
    boolean isGone() {
        return gone;
    }

    /** Whether nothing that it says is heard. */
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
            breakOff(network.chance().hits(network.conditions(peerHost, host).resetDiscards));
            network.simulation().after(0, this::tell);
        }
    }

    private void breakOff(boolean discard) {
        gone = true;
        failure = new IOException("Connection reset by peer");
        if (discard) {
            in.discard();
        }
        out.stop();
        end("reset");
    }

    private void tell() {
        if (open) {
            events.readable();
            events.writable();
        }
    }

    private void leave(String how) {
        open = false;
        if (listener == null || accepted) {
            host.release(this);
        }
        if (!established && abandoned != null) {
            abandoned.run();
        }
        end(how);
    }

    private void end(String how) {
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
