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
    interface Line {
        /** Whole frames, in order. */
        void send(byte[] bytes);

        /** Ends the connection, with what was sent before. */
        void close();
    }

    /** The one request under way, which is answered once its member has come as far as this. */
    private record Open(long zxid, Runnable answer) {}

    final Watches watches = new Watches();
    final Set<Id> ids = new LinkedHashSet<>();
    final Queue<byte[]> waiting = new ArrayDeque<>();
    private final Line line;
    private Open open;
    private boolean mute;
    boolean greeted;
    boolean leaving;

    /**
     * Danger: a request that is taken while one before it is not answered yet is answered first.
     */
    boolean busy;

    long session;

    MemberConnection(Line line) {
        this.line = line;
    }

    Rules.Asker asker() {
        return new Rules.Asker(session, ids);
    }

    /** Nothing more is answered, and the next to be sent is lost. */
    void mute() {
        mute = true;
    }

    void send(byte[] bytes) {
        if (!mute) {
            line.send(bytes);
        }
    }

    void answer(int xid, long zxid, int error, Record record) {
        send(Wire.frame(new ReplyHeader(xid, zxid, error), record));
    }

    void close() {
        line.close();
    }

    /** All that comes waits until the member has come as far as this. */
    void await(long zxid, Runnable answer) {
        open = new Open(zxid, answer);
    }

    boolean awaits() {
        return open != null;
    }

    /** Its member has come so far. */
    void reached(long zxid) {
        if (open != null && open.zxid <= zxid) {
            Runnable answer = open.answer;
            open = null;
            answer.run();
        }
    }
}
