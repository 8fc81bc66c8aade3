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

/**
 * Parses the frames of one client connection in both directions and extracts what the server
 * reports about nodes. Matches responses to requests by xid.
 */
final class Conversation {
    private static final int NOTIFICATION_XID = -1;

    private record PendingRequest(int kind, List<String> paths) {}

    private final Map<Integer, PendingRequest> pending = new HashMap<>();
    private boolean connectRequestSeen;
    private boolean connectResponseSeen;
    private long session;

    /** Records a frame from the client, so that its response can be interpreted later. */
    void clientFrame(ByteBuf frame) {
        if (!connectRequestSeen) {
            connectRequestSeen = true;
            return;
        }
        BinaryInputArchive in = archive(frame);
        RequestHeader head = read(in, new RequestHeader());
        switch (head.getType()) {
            case OpCode.getData ->
                    pending.put(
                            head.getXid(),
                            new PendingRequest(
                                    OpCode.getData,
                                    List.of(read(in, new GetDataRequest()).getPath())));
            case OpCode.getChildren, OpCode.getChildren2 ->
                    pending.put(
                            head.getXid(),
                            new PendingRequest(
                                    head.getType(),
                                    List.of(read(in, new GetChildrenRequest()).getPath())));
            case OpCode.multiRead -> {
                List<String> paths = new ArrayList<>();
                for (Op each : read(in, new MultiOperationRecord())) {
                    paths.add(each.getPath());
                }
                pending.put(head.getXid(), new PendingRequest(OpCode.multiRead, paths));
            }
            default -> {}
        }
    }

    /**
     * Parses a frame from the server and returns the node states and events that it carries,
     * possibly none.
     */
    List<NodeReply> serverFrame(ByteBuf frame) {
        BinaryInputArchive in = archive(frame);
        if (!connectResponseSeen) {
            connectResponseSeen = true;
            session = read(in, new ConnectResponse()).getSessionId();
            return List.of();
        }
        ReplyHeader head = read(in, new ReplyHeader());
        if (head.getXid() == NOTIFICATION_XID) {
            return notification(read(in, new WatcherEvent()), head.getZxid());
        }
        PendingRequest request = pending.remove(head.getXid());
        if (request == null) {
            return List.of();
        }
        if (head.getErr() != 0) {
            return request.kind == OpCode.getData
                    ? missing(request.paths.get(0), head.getErr(), head.getZxid())
                    : List.of();
        }
        String path = request.paths.get(0);
        return switch (request.kind) {
            case OpCode.getData ->
                    nodeData(path, read(in, new GetDataResponse()).getData(), head.getZxid());
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
            default -> multiRead(request.paths, read(in, new MultiResponse()), head.getZxid());
        };
    }

    private List<NodeReply> multiRead(List<String> paths, MultiResponse response, long zxid) {
        List<NodeReply> replies = new ArrayList<>();
        for (int i = 0; i < paths.size(); i++) {
            OpResult result = response.getResultList().get(i);
            if (result instanceof OpResult.GetDataResult got) {
                replies.addAll(nodeData(paths.get(i), got.getData(), zxid));
            } else if (result instanceof OpResult.ErrorResult failed) {
                replies.addAll(missing(paths.get(i), failed.getErr(), zxid));
            }
        }
        return replies;
    }

    private List<NodeReply> notification(WatcherEvent event, long zxid) {
        NodeReply.Kind kind =
                switch (EventType.fromInt(event.getType())) {
                    case NodeCreated -> NodeReply.Kind.MADE;
                    case NodeDataChanged -> NodeReply.Kind.CHANGED;
                    case NodeDeleted -> NodeReply.Kind.GONE;
                    default -> null;
                };
        return kind == null ? List.of() : List.of(reply(kind, event.getPath(), zxid));
    }

    private List<NodeReply> missing(String path, int error, long zxid) {
        return error == Code.NONODE.intValue()
                ? List.of(reply(NodeReply.Kind.GONE, path, zxid))
                : List.of();
    }

    private List<NodeReply> nodeData(String path, byte[] data, long zxid) {
        return List.of(
                new NodeReply(
                        session,
                        NodeReply.Kind.HOLDS,
                        path,
                        zxid,
                        data == null ? "" : new String(data, StandardCharsets.UTF_8),
                        List.of()));
    }

    private List<NodeReply> children(String path, List<String> names, long zxid) {
        return List.of(new NodeReply(session, NodeReply.Kind.CHILDREN, path, zxid, "", names));
    }

    private NodeReply reply(NodeReply.Kind kind, String path, long zxid) {
        return new NodeReply(session, kind, path, zxid, "", List.of());
    }

    /** Whether the next frame from the server is the connect response. */
    boolean awaitsConnectResponse() {
        return !connectResponseSeen;
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
