package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.apache.zookeeper.AsyncCallback.StatCallback;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/**
 * A process's place in the queue of the waiters for a lease: an ephemeral sequential node. Each
 * waiter watches only the node ahead of it, so that the end of one node wakes one waiter and not
 * all. Belongs to one client handle; confined to the store's thread.
 */
final class WaiterQueue {
    /** The session that the place belongs to. */
    interface Host {
        /** Whether a place is wanted and requests can be sent. */
        boolean wantsPlace();

        /** Whether requests can be sent. */
        boolean isReady();

        /** The place is the first in the queue. */
        void onHeadOfQueue();

        /** Logs the line and calls {@link WaiterQueue#reconcile} after the retry delay. */
        void onFailure(String line);

        /** The queue's own node is missing. */
        void onQueueMissing();

        /** Runs the task on the store's thread, unless the handle has been closed by then. */
        void execute(Runnable task);
    }

    /** No process joins a queue of this length: every waiter reads the list of all its nodes. */
    static final int MAX_WAITERS = 2000;

    private static final int ANY_VERSION = -1;

    private final ZooKeeper client;
    private final ZooKeeperSettings settings;
    private final String path;
    private final String holder;
    private final String incarnation;
    private final Host host;

    /** Whether responses are outstanding; the next round starts after them. */
    private boolean reconciling;

    private boolean reconcileAgain;
    private boolean headReported;

    WaiterQueue(
            ZooKeeper client,
            ZooKeeperSettings settings,
            String path,
            String holder,
            String incarnation,
            Host host) {
        this.client = client;
        this.settings = settings;
        this.path = path;
        this.holder = holder;
        this.incarnation = incarnation;
        this.host = host;
    }

    /** The head of the queue is reported again once the place has been checked again. */
    void resetHeadReport() {
        headReported = false;
    }

    /** Takes, leaves or checks the place, as wanted now. */
    void reconcile() {
        if (reconciling) {
            reconcileAgain = true;
        } else if (host.isReady()) {
            reconciling = true;
            client.getChildren(
                    path,
                    false,
                    (code, nodePath, context, names) ->
                            host.execute(() -> onWaiters(Code.get(code), names)),
                    null);
        }
    }

    private void finish() {
        reconciling = false;
        if (reconcileAgain) {
            reconcileAgain = false;
            reconcile();
        }
    }

    private void restart() {
        reconcileAgain = true;
        finish();
    }

    /** Ends the round on any error; retries it if a new connection won't resolve the error. */
    private boolean succeeded(Code code) {
        if (code == Code.OK) {
            return true;
        }
        if (code != Code.NONODE && code != Code.CONNECTIONLOSS && code != Code.SESSIONEXPIRED) {
            host.onFailure("ZooKeeper returned " + code + " for " + path);
        }
        finish();
        return false;
    }

    private void onWaiters(Code code, List<String> names) {
        if (code == Code.NONODE) {
            host.onQueueMissing();
        }
        if (!succeeded(code)) {
            return;
        }
        List<String> queue = inQueueOrder(names);
        List<String> own =
                queue.stream().filter(name -> name.startsWith(incarnation + "-")).toList();
        if (!host.wantsPlace()) {
            headReported = false;
            own.forEach(this::delete);
            finish();
        } else if (own.isEmpty()) {
            join(queue.size());
        } else {
            checkPlace(queue, own.get(0));
        }
    }

    /** Sorts node names by their sequence numbers: the ten digits after the last hyphen. */
    static List<String> inQueueOrder(List<String> names) {
        return names.stream()
                .sorted(Comparator.comparing(name -> name.substring(name.lastIndexOf('-') + 1)))
                .toList();
    }

    private void delete(String name) {
        client.delete(path + "/" + name, ANY_VERSION, (code, nodePath, context) -> {}, null);
    }

    private void join(int length) {
        headReported = false;
        if (length >= MAX_WAITERS) {
            host.onFailure("the queue is full: " + length + " processes wait at " + path);
            finish();
            return;
        }
        client.create(
                path + "/" + incarnation + "-",
                holder.getBytes(StandardCharsets.UTF_8),
                ZooKeeperClientFactory.acl(settings),
                CreateMode.EPHEMERAL_SEQUENTIAL,
                (code, nodePath, context, name) -> host.execute(() -> onJoined(Code.get(code))),
                null);
    }

    private void onJoined(Code code) {
        if (code == Code.NONODE || succeeded(code)) {
            restart();
        }
    }

    private void checkPlace(List<String> queue, String own) {
        exists(
                own,
                false,
                (code, stat) -> {
                    if (code == Code.NONODE) {
                        restart();
                    } else if (succeeded(code)) {
                        onOwnPlace(queue, own, stat);
                    }
                });
    }

    /**
     * Gives up a place of an earlier session: it ends with that session, and would block all
     * waiters behind it until then.
     */
    private void onOwnPlace(List<String> queue, String own, Stat stat) {
        int position = queue.indexOf(own);
        if (stat.getEphemeralOwner() != client.getSessionId()) {
            delete(own);
            restart();
        } else if (position == 0) {
            if (!headReported) {
                headReported = true;
                host.onHeadOfQueue();
            }
            finish();
        } else {
            headReported = false;
            watchAhead(queue.get(position - 1));
        }
    }

    private void watchAhead(String ahead) {
        exists(
                ahead,
                true,
                (code, stat) -> {
                    if (code == Code.NONODE) {
                        restart();
                    } else if (succeeded(code)) {
                        finish();
                    }
                });
    }

    private interface ExistsCallback {
        /** {@code stat} is null unless the code is OK. */
        void onAnswer(Code code, Stat stat);
    }

    private void exists(String name, boolean watch, ExistsCallback callback) {
        StatCallback onThread =
                (code, nodePath, context, stat) ->
                        host.execute(() -> callback.onAnswer(Code.get(code), stat));
        client.exists(path + "/" + name, watch, onThread, null);
    }
}
