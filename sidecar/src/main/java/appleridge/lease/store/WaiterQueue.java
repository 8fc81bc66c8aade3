package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/**
 * A place in the line of those who wait for a lease: an ephemeral node numbered by the service.
 * Each watches the one ahead alone, so that an end wakes one and not all. Of one handle, on its
 * keeper's thread.
 */
final class WaiterQueue {
    /** What the line asks of its handle. */
    interface Host {
        /** Whether a place is wanted and the service can be asked. */
        boolean wantsPlace();

        /** Whether the service can be asked. */
        boolean isReady();

        void onHeadOfQueue();

        void onFailure(String line);

        /** The line itself is not there. */
        void onQueueMissing();

        /** Does it on the keeper's thread, unless the handle is closed by then. */
        void execute(Runnable what);
    }

    /** Nobody joins a longer line. */
    static final int MAX_WAITERS = 2000;

    private final ZooKeeper client;
    private final ZooKeeperSettings settings;
    private final String path;
    private final String holder;
    private final String nonce;
    private final Host host;
    private boolean asking;
    private boolean again;
    private boolean told;

    WaiterQueue(
            ZooKeeper client,
            ZooKeeperSettings settings,
            String path,
            String holder,
            String nonce,
            Host host) {
        this.client = client;
        this.settings = settings;
        this.path = path;
        this.holder = holder;
        this.nonce = nonce;
        this.host = host;
    }

    /** The connection is down; where the place is has to be looked at anew. */
    void onDisconnected() {
        told = false;
    }

    /** Takes, leaves or looks at the place, as is wanted now. */
    void reconcile() {
        if (asking) {
            again = true;
        } else if (host.isReady()) {
            asking = true;
            client.getChildren(
                    path,
                    false,
                    (code, asked, context, names) ->
                            host.execute(() -> names(Code.get(code), names)),
                    null);
        }
    }

    private void done() {
        asking = false;
        if (again) {
            again = false;
            reconcile();
        }
    }

    private void lookAgain() {
        again = true;
        done();
    }

    private boolean good(Code code) {
        if (code != Code.OK
                && code != Code.NONODE
                && code != Code.CONNECTIONLOSS
                && code != Code.SESSIONEXPIRED) {
            host.onFailure("the coordination service answers " + code + " for " + path);
        }
        if (code != Code.OK) {
            done();
        }
        return code == Code.OK;
    }

    private void names(Code code, List<String> names) {
        if (code == Code.NONODE) {
            host.onQueueMissing();
        }
        if (!good(code)) {
            return;
        }
        List<String> order = inQueueOrder(names);
        List<String> ours = order.stream().filter(each -> each.startsWith(nonce + "-")).toList();
        if (!host.wantsPlace()) {
            told = false;
            ours.forEach(this::leave);
            done();
        } else if (ours.isEmpty()) {
            join(order.size());
        } else {
            check(order, ours.get(0));
        }
    }

    /** In the order of their numbers, which are the last ten digits. */
    static List<String> inQueueOrder(List<String> names) {
        return names.stream()
                .sorted(Comparator.comparing(each -> each.substring(each.lastIndexOf('-') + 1)))
                .toList();
    }

    private void leave(String name) {
        client.delete(path + "/" + name, -1, (code, asked, context) -> {}, null);
    }

    private void join(int length) {
        told = false;
        if (length >= MAX_WAITERS) {
            host.onFailure("the line is full: " + length + " wait at " + path);
            done();
            return;
        }
        client.create(
                path + "/" + nonce + "-",
                holder.getBytes(StandardCharsets.UTF_8),
                ZooKeeperClientFactory.acl(settings),
                CreateMode.EPHEMERAL_SEQUENTIAL,
                (code, asked, context, name) ->
                        host.execute(
                                () -> {
                                    if (code == Code.NONODE.intValue() || good(Code.get(code))) {
                                        lookAgain();
                                    }
                                }),
                null);
    }

    /**
     * Danger: a place of a session of before ends with that one, and holds up all behind it until
     * then.
     */
    private void check(List<String> order, String mine) {
        client.exists(
                path + "/" + mine,
                false,
                (code, asked, context, stat) ->
                        host.execute(
                                () -> {
                                    if (code == Code.NONODE.intValue()) {
                                        lookAgain();
                                    } else if (good(Code.get(code))) {
                                        checked(order, mine, stat);
                                    }
                                }),
                null);
    }

    private void checked(List<String> order, String mine, Stat stat) {
        int place = order.indexOf(mine);
        if (stat.getEphemeralOwner() != client.getSessionId()) {
            leave(mine);
            lookAgain();
        } else if (place == 0) {
            if (!told) {
                told = true;
                host.onHeadOfQueue();
            }
            done();
        } else {
            told = false;
            client.exists(
                    path + "/" + order.get(place - 1),
                    true,
                    (code, asked, context, ahead) ->
                            host.execute(
                                    () -> {
                                        if (code == Code.NONODE.intValue()) {
                                            lookAgain();
                                        } else if (good(Code.get(code))) {
                                            done();
                                        }
                                    }),
                    null);
        }
    }
}
