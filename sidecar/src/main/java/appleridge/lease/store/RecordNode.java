package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.VersionedLease;
import java.util.concurrent.Executor;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/** Reads and writes the record's node through one client handle. On the store's thread. */
final class RecordNode {
    /** The expected version of a write that creates the record. */
    private static final int CREATE = -1;

    private static final int FIRST_VERSION = 0;

    /**
     * Which node the record is, over all handles of a store. A node that is deleted and created
     * anew counts its versions from 0 again, so a version alone doesn't tell the two apart.
     */
    static final class Identity {
        private static final long UNKNOWN = 0;

        /** The transaction that created the node that is known. */
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

    /** {@code thread} runs what it is given on the store's thread unless the handle is closed. */
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
     * A watch has fired. While a write has no answer it is left out: the answer tells of the
     * change, be it its own or another's.
     */
    void onWatchEvent() {
        if (unansweredWrites == 0) {
            requests.publish(LeaseStore.Events::onRecordChanged);
        }
    }

    /** Syncs first: a lagging server would answer with an older record. */
    void read(long requestId) {
        client.sync(
                path,
                (code, asked, context) -> {
                    if (code != Code.OK.intValue() && code != Code.NONODE.intValue()) {
                        thread.execute(() -> requests.fail(requestId, Code.get(code)));
                    }
                },
                null);
        client.getData(
                path,
                true,
                (code, asked, context, data, stat) ->
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
            VersionedLease record = LeaseRecord.decode(data, stat.getVersion());
            identity.creationTransaction = stat.getCzxid();
            requests.answer(requestId, to -> to.onRead(requestId, record));
        } catch (MalformedLeaseRecordException e) {
            log.info(path + ": " + e.getMessage());
            requests.answerUnknownLater(requestId);
        }
    }

    /** Watches for the record's creation as well. */
    private void onMissing(long requestId) {
        identity.creationTransaction = Identity.UNKNOWN;
        client.exists(
                path,
                true,
                (code, asked, context, stat) -> {
                    if (code == Code.OK.intValue()) {
                        requests.publish(LeaseStore.Events::onRecordChanged);
                    }
                },
                null);
        requests.answer(requestId, to -> to.onRead(requestId, null));
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
                    (code, asked, context, name, stat) ->
                            thread.execute(() -> onCreated(requestId, Code.get(code), stat)),
                    null);
        } else {
            long createdBefore = identity.creationTransaction;
            client.setData(
                    path,
                    data,
                    expectedVersion,
                    (code, asked, context, stat) ->
                            thread.execute(
                                    () -> onSet(requestId, Code.get(code), stat, createdBefore)),
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

    private void onSet(long requestId, Code code, Stat stat, long createdBefore) {
        unansweredWrites--;
        if (code == Code.OK
                && createdBefore != Identity.UNKNOWN
                && stat.getCzxid() != createdBefore) {
            requests.discard(requestId);
            onRecreated();
        } else {
            onWritten(requestId, code, code == Code.OK ? stat.getVersion() : FIRST_VERSION);
        }
    }

    private void onWritten(long requestId, Code code, int version) {
        switch (code) {
            case OK -> requests.answer(requestId, to -> to.onWritten(requestId, version));
            case BADVERSION, NODEEXISTS ->
                    requests.answer(requestId, to -> to.onConflict(requestId));
            case NONODE -> {
                log.info(path + " is gone");
                requests.answer(requestId, to -> to.onConflict(requestId));
            }
            default -> requests.fail(requestId, code);
        }
    }

    /**
     * The write went into another node that happened to have the expected version, possibly over
     * another holder's record. Neither of the two may go on by it.
     */
    private void onRecreated() {
        String reason = path + " was deleted and made anew while it was held";
        log.info(reason);
        requests.publish(to -> to.onRecordRecreated(reason));
    }
}
