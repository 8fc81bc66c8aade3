package appleridge.discovery.registration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.discovery.zookeeper.TestEnsemble;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Registration of a server as an ephemeral node, across session expiry and outages. */
@Timeout(60)
class NodeRegistrationTest {
    private static final String PATH = "/servers/s1";

    private final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();

    private static byte[] data(String text, long started) {
        return ("{\"text\":\"" + text + "\",\"started\":" + started + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private NodeRegistration registration(TestEnsemble ensemble, String text, long started) {
        return new NodeRegistration(
                ensemble.settings("/servers"), "s1", data(text, started), started, log::add);
    }

    private static void end(NodeRegistration registration) {
        registration.close();
    }

    private void awaitLog(String part) throws InterruptedException {
        String line = "";
        while (!line.contains(part)) {
            line = log.poll(20, TimeUnit.SECONDS);
            assertTrue(line != null, "never logged: " + part);
        }
    }

    private static String nodeData(ZooKeeper client, Stat stat) throws Exception {
        return client.exists(PATH, false) == null
                ? null
                : new String(client.getData(PATH, false, stat), StandardCharsets.UTF_8);
    }

    @Test
    void nodeExistsUntilRegistrationIsClosed() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.createPersistent("/servers");
            NodeRegistration one = registration(ensemble, "one", 5);
            one.start();
            awaitLog("registered as " + PATH);
            Stat stat = new Stat();
            assertEquals(new String(data("one", 5)), nodeData(ensemble.operator(), stat));
            assertNotEquals(0, stat.getEphemeralOwner());
            one.setData(data("ends", 5));
            while (!new String(data("ends", 5)).equals(nodeData(ensemble.operator(), stat))) {
                Thread.sleep(10);
            }
            one.close();
            assertNull(nodeData(ensemble.operator(), stat));
        }
    }

    /** Guards against a node that disappears later because it still belongs to the old session. */
    @Test
    void nodeBelongsToTheNewSessionAfterExpiry() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.createPersistent("/servers");
            try (NodeRegistration one = registration(ensemble, "one", 5)) {
                one.start();
                awaitLog("registered");
                Stat before = new Stat();
                nodeData(ensemble.operator(), before);
                ensemble.expireAll();
                awaitLog("another one begins");
                Stat after = new Stat();
                while (nodeData(ensemble.operator(), after) == null
                        || after.getEphemeralOwner() == before.getEphemeralOwner()) {
                    Thread.sleep(10);
                }
                assertEquals(1, ensemble.operator().getChildren("/servers", false).size());
            }
        }
    }

    @Test
    void mostRecentlyStartedServerHoldsTheName() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.createPersistent("/servers");
            ZooKeeper old = ensemble.client();
            TestEnsemble.createServerNode(old, PATH, new String(data("old", 4)));
            try (NodeRegistration one = registration(ensemble, "one", 5)) {
                one.start();
                awaitLog("registered");
                Stat stat = new Stat();
                assertEquals(new String(data("one", 5)), nodeData(ensemble.operator(), stat));
                assertFalse(stat.getEphemeralOwner() == old.getSessionId());
                old.close();
                assertEquals(new String(data("one", 5)), nodeData(ensemble.operator(), stat));
                try (NodeRegistration late = registration(ensemble, "late", 3)) {
                    late.start();
                    awaitLog("a server that started later has the name");
                    assertEquals(new String(data("one", 5)), nodeData(ensemble.operator(), stat));
                    end(one);
                    awaitLog("registered");
                }
            }
        }
    }

    @Test
    void unavailableEnsembleIsAwaitedAndADeletedNodeIsRecreated() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.createPersistent("/servers");
            ensemble.stop();
            try (NodeRegistration one = registration(ensemble, "one", 5)) {
                one.start();
                Thread.sleep(500);
                ensemble.start();
                awaitLog("registered");
                ensemble.operator().delete(PATH, -1);
                Stat stat = new Stat();
                while (nodeData(ensemble.operator(), stat) == null) {
                    Thread.sleep(10);
                }
            }
        }
    }
}
