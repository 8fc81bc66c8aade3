package appleridge.testbed.coordination;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.jute.BinaryInputArchive;
import org.apache.jute.Record;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.MultiOperationRecord;
import org.apache.zookeeper.MultiResponse;
import org.apache.zookeeper.Op;
import org.apache.zookeeper.OpResult;
import org.apache.zookeeper.Watcher.Event.EventType;
import org.apache.zookeeper.ZooDefs.OpCode;
import org.apache.zookeeper.proto.ConnectResponse;
import org.apache.zookeeper.proto.GetChildren2Response;
import org.apache.zookeeper.proto.GetChildrenRequest;
import org.apache.zookeeper.proto.GetChildrenResponse;
import org.apache.zookeeper.proto.GetDataRequest;
import org.apache.zookeeper.proto.GetDataResponse;
import org.apache.zookeeper.proto.ReplyHeader;
import org.apache.zookeeper.proto.RequestHeader;
import org.apache.zookeeper.proto.WatcherEvent;

/** One connection's frames, read enough to say what is told of nodes. */
final class Conversation {
    private static final int NOTIFICATION = -1;

    private record Asked(int kind, List<String> paths) {}

    private final Map<Integer, Asked> open = new HashMap<>();
    private boolean begun;
    private boolean answered;
    private long session;

    /** Takes a client's frame in. */
    void asks(ByteBuf frame) {
        if (!begun) {
            begun = true;
            return;
        }
        BinaryInputArchive in = archive(frame);
        RequestHeader head = read(in, new RequestHeader());
        switch (head.getType()) {
            case OpCode.getData ->
                    open.put(
                            head.getXid(),
                            new Asked(
                                    OpCode.getData,
                                    List.of(read(in, new GetDataRequest()).getPath())));
            case OpCode.getChildren, OpCode.getChildren2 ->
                    open.put(
                            head.getXid(),
                            new Asked(
                                    head.getType(),
                                    List.of(read(in, new GetChildrenRequest()).getPath())));
            case OpCode.multiRead -> {
                List<String> paths = new ArrayList<>();
                for (Op each : read(in, new MultiOperationRecord())) {
                    paths.add(each.getPath());
                }
                open.put(head.getXid(), new Asked(OpCode.multiRead, paths));
            }
            default -> {}
        }
    }

    /** Takes a server's frame in, and says what it tells. */
    List<NodeReply> answers(ByteBuf frame) {
        BinaryInputArchive in = archive(frame);
        if (!answered) {
            answered = true;
            session = read(in, new ConnectResponse()).getSessionId();
            return List.of();
        }
        ReplyHeader head = read(in, new ReplyHeader());
        if (head.getXid() == NOTIFICATION) {
            return notified(read(in, new WatcherEvent()), head.getZxid());
        }
        Asked asked = open.remove(head.getXid());
        if (asked == null) {
            return List.of();
        }
        if (head.getErr() != 0) {
            return asked.kind == OpCode.getData
                    ? missing(asked.paths.get(0), head.getErr(), head.getZxid())
                    : List.of();
        }
        String path = asked.paths.get(0);
        return switch (asked.kind) {
            case OpCode.getData ->
                    holds(path, read(in, new GetDataResponse()).getData(), head.getZxid());
            case OpCode.getChildren ->
                    children(
                            path,
                            read(in, new GetChildrenResponse()).getChildren(),
                            head.getZxid());
            case OpCode.getChildren2 ->
                    children(
                            path,
                            read(in, new GetChildren2Response()).getChildren(),
                            head.getZxid());
            default -> many(asked.paths, read(in, new MultiResponse()), head.getZxid());
        };
    }

    private List<NodeReply> many(List<String> paths, MultiResponse response, long zxid) {
        List<NodeReply> heard = new ArrayList<>();
        for (int i = 0; i < paths.size(); i++) {
            OpResult result = response.getResultList().get(i);
            if (result instanceof OpResult.GetDataResult got) {
                heard.addAll(holds(paths.get(i), got.getData(), zxid));
            } else if (result instanceof OpResult.ErrorResult failed) {
                heard.addAll(missing(paths.get(i), failed.getErr(), zxid));
            }
        }
        return heard;
    }

    private List<NodeReply> notified(WatcherEvent event, long zxid) {
        NodeReply.What what =
                switch (EventType.fromInt(event.getType())) {
                    case NodeCreated -> NodeReply.What.MADE;
                    case NodeDataChanged -> NodeReply.What.CHANGED;
                    case NodeDeleted -> NodeReply.What.GONE;
                    default -> null;
                };
        return what == null ? List.of() : List.of(heard(what, event.getPath(), zxid));
    }

    private List<NodeReply> missing(String path, int error, long zxid) {
        return error == Code.NONODE.intValue()
                ? List.of(heard(NodeReply.What.GONE, path, zxid))
                : List.of();
    }

    private List<NodeReply> holds(String path, byte[] data, long zxid) {
        return List.of(
                new NodeReply(
                        session,
                        NodeReply.What.HOLDS,
                        path,
                        zxid,
                        data == null ? "" : new String(data, StandardCharsets.UTF_8),
                        List.of()));
    }

    private List<NodeReply> children(String path, List<String> names, long zxid) {
        return List.of(new NodeReply(session, NodeReply.What.CHILDREN, path, zxid, "", names));
    }

    private NodeReply heard(NodeReply.What what, String path, long zxid) {
        return new NodeReply(session, what, path, zxid, "", List.of());
    }

    /** Whether the next answer is the first, which says how the session stands. */
    boolean beforeFirstAnswer() {
        return !answered;
    }

    long session() {
        return session;
    }

    private static BinaryInputArchive archive(ByteBuf frame) {
        return BinaryInputArchive.getArchive(
                new ByteBufInputStream(frame.slice().skipBytes(Integer.BYTES)));
    }

    private static <T extends Record> T read(BinaryInputArchive in, T record) {
        try {
            record.deserialize(in, "");
            return record;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
