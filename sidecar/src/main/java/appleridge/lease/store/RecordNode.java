package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.VersionedLease;
import java.util.concurrent.Executor;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/** Reads and writes the record's node through one client handle. Confined to the store's thread. */
final class RecordNode {
    /** The expected version of a write that creates the record. */
    private static final int CREATE = -1;

    private static final int FIRST_VERSION = 0;

    /**
     * The identity of the record's node, shared by all handles of a store. A node that is deleted
     * and created again counts its versions from 0, so the version alone doesn't distinguish the
     * two.
     */
    static final class Identity {
        private static final long UNKNOWN = 0;

        /** The transaction that created the node that was last seen. */
        private long creationTransaction = UNKNOWN;
    }

    private final ZooKeeper client;
    private final ZooKeeperSettings settings;
    private final String path;
    private final Identity identity;
    private final StoreRequestTable requests;
    private final StoreLog log;
    private final Executor thread;
    private int unansweredWrites;

    /** {@code thread} runs tasks on the store's thread unless the handle has been closed. */
    RecordNode(
            ZooKeeper client,
            ZooKeeperSettings settings,
            String path,
            Identity identity,
            StoreRequestTable requests,
            StoreLog log,
            Executor thread) {
        this.client = client;
        this.settings = settings;
        this.path = path;
        this.identity = identity;
        this.requests = requests;
        this.log = log;
        this.thread = thread;
    }

    /**
     * Handles a watch event. It is ignored while a write has no response: that response shows the
     * change, whether it is the write's own or another's.
     */
    void onWatchEvent() {
        if (unansweredWrites == 0) {
            requests.publish(LeaseStore.Events::onRecordChanged);
        }
    }

    /** Reads the record after a sync, because a lagging server would return an older one. */
    void read(long requestId) {
        client.sync(
                path,
                (code, nodePath, context) -> {
                    if (code != Code.OK.intValue() && code != Code.NONODE.intValue()) {
                        thread.execute(() -> requests.fail(requestId, Code.get(code)));
                    }
                },
                null);
        client.getData(
                path,
                true,
                (code, nodePath, context, data, stat) ->
                        thread.execute(() -> onRead(requestId, Code.get(code), data, stat)),
                null);
    }

    private void onRead(long requestId, Code code, byte[] data, Stat stat) {
        switch (code) {
            case OK -> onData(requestId, data, stat);
            case NONODE -> onMissing(requestId);
            default -> requests.fail(requestId, code);
        }
    }

    private void onData(long requestId, byte[] data, Stat stat) {
        try {
            VersionedLease record = LeaseRecordCodec.decode(data, stat.getVersion());
            identity.creationTransaction = stat.getCzxid();
            requests.complete(requestId, to -> to.onRead(requestId, record));
        } catch (MalformedLeaseRecordException e) {
            log.info(path + ": " + e.getMessage());
            requests.completeUnknownLater(requestId);
        }
    }

    /** Also watches for the record's creation. */
    private void onMissing(long requestId) {
        identity.creationTransaction = Identity.UNKNOWN;
        client.exists(
                path,
                true,
                (code, nodePath, context, stat) -> {
                    if (code == Code.OK.intValue()) {
                        requests.publish(LeaseStore.Events::onRecordChanged);
                    }
                },
                null);
        requests.complete(requestId, to -> to.onRead(requestId, null));
    }

    /** Writes if the version is still the expected one; {@value #CREATE} creates the record. */
    void write(long requestId, int expectedVersion, byte[] data) {
        unansweredWrites++;
        if (expectedVersion == CREATE) {
            client.create(
                    path,
                    data,
                    ZooKeeperClientFactory.acl(settings),
                    CreateMode.PERSISTENT,
                    (code, nodePath, context, name, stat) ->
                            thread.execute(() -> onCreated(requestId, Code.get(code), stat)),
                    null);
        } else {
            long expectedCreation = identity.creationTransaction;
            client.setData(
                    path,
                    data,
                    expectedVersion,
                    (code, nodePath, context, stat) ->
                            thread.execute(
                                    () -> onSet(requestId, Code.get(code), stat, expectedCreation)),
                    null);
        }
    }

    private void onCreated(long requestId, Code code, Stat stat) {
        unansweredWrites--;
        if (code == Code.OK) {
            identity.creationTransaction = stat.getCzxid();
        }
        onWritten(requestId, code, FIRST_VERSION);
    }

    private void onSet(long requestId, Code code, Stat stat, long expectedCreation) {
        unansweredWrites--;
        if (code == Code.OK
                && expectedCreation != Identity.UNKNOWN
                && stat.getCzxid() != expectedCreation) {
            requests.discard(requestId);
            onRecreated();
        } else {
            onWritten(requestId, code, code == Code.OK ? stat.getVersion() : FIRST_VERSION);
        }
    }

    private void onWritten(long requestId, Code code, int version) {
        switch (code) {
            case OK -> requests.complete(requestId, to -> to.onWritten(requestId, version));
            case BADVERSION, NODEEXISTS ->
                    requests.complete(requestId, to -> to.onConflict(requestId));
            case NONODE -> {
                log.info(path + " does not exist");
                requests.complete(requestId, to -> to.onConflict(requestId));
            }
            default -> requests.fail(requestId, code);
        }
    }

    /**
     * The write changed another node that happened to have the expected version, and may have
     * overwritten another holder's record. Neither holder may rely on its grant any more.
     */
    private void onRecreated() {
        String reason = path + " was deleted and created again while the lease was held";
        log.info(reason);
        requests.publish(to -> to.onRecordRecreated(reason));
    }
}
