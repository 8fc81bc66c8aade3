package appleridge.testbed.coordination;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import org.apache.jute.Record;
import org.apache.zookeeper.data.Id;
import org.apache.zookeeper.proto.ReplyHeader;

/** The state of one client's connection with one member. Free of I/O. */
final class MemberConnection {
    /** Sends frames to the client. */
    interface Transport {
        /** Sends a whole frame; frames keep their order. */
        void send(byte[] bytes);

        /** Closes the connection after everything sent before. */
        void close();
    }

    /** The response to the request in progress, due once the member has applied {@code zxid}. */
    private record PendingAnswer(long zxid, Runnable answer) {}

    final Watches watches = new Watches();
    final Set<Id> ids = new LinkedHashSet<>();
    final Queue<byte[]> queuedFrames = new ArrayDeque<>();
    private final Transport transport;
    private PendingAnswer pending;
    private boolean mute;
    boolean handshakeReceived;
    boolean closing;

    /**
     * Set while the member processes the queue, to prevent re-entrance: processing a write may call
     * back into the queue, and a later request would then be answered before the write.
     */
    boolean busy;

    long session;

    MemberConnection(Transport transport) {
        this.transport = transport;
    }

    Rules.Caller caller() {
        return new Rules.Caller(session, ids);
    }

    /** Drops everything that is sent from now on. */
    void mute() {
        mute = true;
    }

    void send(byte[] bytes) {
        if (!mute) {
            transport.send(bytes);
        }
    }

    void answer(int xid, long zxid, int error, Record record) {
        send(Wire.frame(new ReplyHeader(xid, zxid, error), record));
    }

    void close() {
        transport.close();
    }

    /** Defers the response, and all later requests, until the member has applied {@code zxid}. */
    void answerAt(long zxid, Runnable answer) {
        pending = new PendingAnswer(zxid, answer);
    }

    boolean hasPending() {
        return pending != null;
    }

    /** Sends the deferred response if the member has applied its transaction. */
    void appliedUpTo(long zxid) {
        if (pending != null && pending.zxid <= zxid) {
            Runnable answer = pending.answer;
            pending = null;
            answer.run();
        }
    }
}
