package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.Op;
import org.apache.zookeeper.OpResult;
import org.apache.zookeeper.ZooKeeper;

/**
 * Reads the data of nodes in batches, with a bounded number of calls in flight; changed nodes go
 * before listed ones. All methods must be called, and the sink's methods are called, with the
 * owner's lock held.
 */
final class NodeReader {
    /** Receives the results. */
    interface Sink {
        /** Takes a node's data; {@code notified}: read because the watch notified a change. */
        void onRead(String name, NodeRead read, boolean notified);

        /** The node no longer exists. */
        void onMissing(String name);

        /** Takes the transaction that last changed some node's data. */
        void onZxid(long mzxid);

        /** A batch failed for a reason that has no {@code StalenessCause}. */
        void onUnexpectedCode(Code code);

        /** A batch is done: the sink must call {@link NodeReader#send} again. */
        void onBatchDone();
    }

    /** Bound on the nodes read by one call. */
    private static final int MAX_BATCH = 64;

    /** Bound on the calls in flight. */
    private static final int MAX_OPEN_READS = 8;

    /** A node to read; a later event of the same node replaces it by a new request. */
    private record NodeRequest(String name, long zxid, boolean notified) {}

    private final Object lock;
    private final ZooKeeper client;
    private final NodePaths paths;
    private final NodeJsonParser json;
    private final CallCounter calls;
    private final Sink sink;

    /** The valid request of each name; other requests in the queues are ignored. */
    private final Map<String, NodeRequest> requests = new HashMap<>();

    private final Deque<NodeRequest> urgent = new ArrayDeque<>();
    private final Deque<NodeRequest> bulk = new ArrayDeque<>();
    private int batchSize = MAX_BATCH;
    private int openReads;

    /** Counts connections; responses to calls of an earlier one are ignored. */
    private int connectionEpoch;

    NodeReader(
            Object lock,
            ZooKeeper client,
            NodePaths paths,
            NodeJsonParser json,
            CallCounter calls,
            Sink sink) {
        this.lock = lock;
        this.client = client;
        this.paths = paths;
        this.json = json;
        this.calls = calls;
        this.sink = sink;
    }

    /** Requests a listed node, unless it is requested already. */
    void enqueueListed(String name) {
        if (!requests.containsKey(name)) {
            NodeRequest request = new NodeRequest(name, 0, false);
            requests.put(name, request);
            bulk.add(request);
        }
    }

    /** Requests a node created or changed by this transaction; 0 if the event does not name it. */
    void enqueueChanged(String name, long zxid) {
        NodeRequest request = new NodeRequest(name, zxid, true);
        requests.put(name, request);
        urgent.add(request);
    }

    /** Cancels the request of a deleted node. */
    void cancel(String name) {
        requests.remove(name);
    }

    /** Cancels the requests of listed nodes, but not of changed ones. */
    void cancelListed() {
        bulk.clear();
        requests.values().removeIf(request -> !request.notified);
    }

    /** Drops all calls and requests, which will not be answered. */
    void onConnectionLost() {
        connectionEpoch++;
        openReads = 0;
        requests.clear();
        urgent.clear();
    }

    /** Sends batches up to the bound on calls in flight. */
    void send() {
        while (openReads < MAX_OPEN_READS) {
            List<NodeRequest> batch = nextBatch();
            if (batch.isEmpty()) {
                break;
            }
            send(batch);
        }
    }

    private List<NodeRequest> nextBatch() {
        List<NodeRequest> batch = new ArrayList<>();
        while (batch.size() < batchSize && !(urgent.isEmpty() && bulk.isEmpty())) {
            NodeRequest request = urgent.isEmpty() ? bulk.poll() : urgent.poll();
            if (requests.get(request.name) == request) {
                batch.add(request);
            }
        }
        return batch;
    }

    private void send(List<NodeRequest> batch) {
        int epoch = connectionEpoch;
        openReads++;
        calls.onSent();
        client.multi(
                batch.stream().map(request -> Op.getData(paths.path(request.name))).toList(),
                (code, path, context, results) -> {
                    synchronized (lock) {
                        calls.onAnswered();
                        if (code == Code.CONNECTIONLOSS.intValue()) {
                            // The response may have exceeded the client's size limit.
                            batchSize = Math.max(1, batchSize / 2);
                        }
                        if (epoch == connectionEpoch) {
                            openReads--;
                            onResults(batch, code, results);
                            sink.onBatchDone();
                        }
                    }
                },
                null);
    }

    private void onResults(List<NodeRequest> batch, int code, List<OpResult> results) {
        if (results == null || results.size() != batch.size()) {
            batch.forEach(request -> requests.remove(request.name, request));
            if (code != Code.CONNECTIONLOSS.intValue() && code != Code.SESSIONEXPIRED.intValue()) {
                sink.onUnexpectedCode(Code.get(code));
            }
            return;
        }
        batchSize = Math.min(MAX_BATCH, 2 * batchSize);
        for (int i = 0; i < batch.size(); i++) {
            NodeRequest request = batch.get(i);
            if (requests.get(request.name) == request) {
                requests.remove(request.name);
                onResult(request, results.get(i));
            }
        }
    }

    private void onResult(NodeRequest request, OpResult result) {
        if (result instanceof OpResult.GetDataResult data) {
            onData(request, data);
            return;
        }
        int code = ((OpResult.ErrorResult) result).getErr();
        if (code == Code.NONODE.intValue()) {
            sink.onMissing(request.name);
            return;
        }
        String problem =
                code == Code.NOAUTH.intValue()
                        ? "may not be read"
                        : "can't be read: " + Code.get(code);
        sink.onRead(request.name, NodeJsonParser.unread(problem, request.zxid), request.notified);
    }

    private void onData(NodeRequest request, OpResult.GetDataResult data) {
        long mzxid = data.getStat().getMzxid();
        if (mzxid < request.zxid) {
            // Older than the notified change, which it would undo.
            NodeRequest retry = new NodeRequest(request.name, request.zxid, request.notified);
            requests.put(request.name, retry);
            urgent.add(retry);
            return;
        }
        sink.onZxid(mzxid);
        sink.onRead(
                request.name,
                json.read(request.name, data.getData(), data.getStat()),
                request.notified);
    }
}
