package appleridge.testbed.coordination;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import org.apache.jute.Record;
import org.apache.zookeeper.data.Id;
import org.apache.zookeeper.proto.ReplyHeader;

/** One client's connection with one member, as the member knows it. Pure. */
final class MemberConnection {
    /** Where the answers go. */
    interface Transport {
        /** Whole frames, in order. */
        void send(byte[] bytes);

        /** Ends the connection, with what was sent before. */
        void close();
    }

    /** The one request under way, which is answered once its member has come as far as this. */
    private record PendingAnswer(long zxid, Runnable answer) {}

    final Watches watches = new Watches();
    final Set<Id> ids = new LinkedHashSet<>();
    final Queue<byte[]> queuedFrames = new ArrayDeque<>();
    private final Transport transport;
    private PendingAnswer pending;
    private boolean mute;
    boolean handshakeSeen;
    boolean closing;

    /**
     * Danger: a request that is taken while one before it is not answered yet is answered first.
     */
    boolean busy;

    long session;

    MemberConnection(Transport transport) {
        this.transport = transport;
    }

    Rules.Caller caller() {
        return new Rules.Caller(session, ids);
    }

    /** Nothing more is answered, and the next to be sent is lost. */
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

    /** All that comes waits until the member has come as far as this. */
    void answerAt(long zxid, Runnable answer) {
        pending = new PendingAnswer(zxid, answer);
    }

    boolean hasPending() {
        return pending != null;
    }

    /** Its member has come so far. */
    void appliedUpTo(long zxid) {
        if (pending != null && pending.zxid <= zxid) {
            Runnable answer = pending.answer;
            pending = null;
            answer.run();
        }
    }
}
