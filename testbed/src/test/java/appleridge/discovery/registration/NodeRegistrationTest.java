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

/** One node, kept over whatever happens to its session. */
@Timeout(60)
class NodeRegistrationTest {
    private static final String PATH = "/servers/s1";

    private final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();

    private static byte[] text(String text, long started) {
        return ("{\"text\":\"" + text + "\",\"started\":" + started + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private NodeRegistration registration(TestEnsemble ensemble, String text, long started) {
        return new NodeRegistration(
                ensemble.settings("/servers"), "s1", text(text, started), started, log::add);
    }

    private static void end(NodeRegistration which) {
        which.close();
    }

    private void logged(String part) throws InterruptedException {
        String line = "";
        while (!line.contains(part)) {
            line = log.poll(20, TimeUnit.SECONDS);
            assertTrue(line != null, "never logged: " + part);
        }
    }

    private static String holds(ZooKeeper client, Stat stat) throws Exception {
        return client.exists(PATH, false) == null
                ? null
                : new String(client.getData(PATH, false, stat), StandardCharsets.UTF_8);
    }

    @Test
    void nodeExistsUntilRegistrationIsClosed() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.persistent("/servers");
            NodeRegistration one = registration(ensemble, "one", 5);
            one.start();
            logged("registered as " + PATH);
            Stat stat = new Stat();
            assertEquals(new String(text("one", 5)), holds(ensemble.operator(), stat));
            assertNotEquals(0, stat.getEphemeralOwner());
            one.setData(text("ends", 5));
            while (!new String(text("ends", 5)).equals(holds(ensemble.operator(), stat))) {
                Thread.sleep(10);
            }
            one.close();
            assertNull(holds(ensemble.operator(), stat));
        }
    }

    /** Guards against a node that vanishes later with the session that it belonged to. */
    @Test
    void nodeBelongsToTheNewSessionAfterExpiry() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.persistent("/servers");
            try (NodeRegistration one = registration(ensemble, "one", 5)) {
                one.start();
                logged("registered");
                Stat before = new Stat();
                holds(ensemble.operator(), before);
                ensemble.expireAll();
                logged("another one begins");
                Stat after = new Stat();
                while (holds(ensemble.operator(), after) == null
                        || after.getEphemeralOwner() == before.getEphemeralOwner()) {
                    Thread.sleep(10);
                }
                assertEquals(1, ensemble.operator().getChildren("/servers", false).size());
            }
        }
    }

    @Test
    void serverThatStartedLastHoldsTheName() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.persistent("/servers");
            ZooKeeper old = ensemble.client();
            TestEnsemble.server(old, PATH, new String(text("old", 4)));
            try (NodeRegistration one = registration(ensemble, "one", 5)) {
                one.start();
                logged("registered");
                Stat stat = new Stat();
                assertEquals(new String(text("one", 5)), holds(ensemble.operator(), stat));
                assertFalse(stat.getEphemeralOwner() == old.getSessionId());
                old.close();
                assertEquals(new String(text("one", 5)), holds(ensemble.operator(), stat));
                try (NodeRegistration late = registration(ensemble, "late", 3)) {
                    late.start();
                    logged("a server that started later has the name");
                    assertEquals(new String(text("one", 5)), holds(ensemble.operator(), stat));
                    end(one);
                    logged("registered");
                }
            }
        }
    }

    @Test
    void absentEnsembleIsAwaitedAndADeletedNodeRecreated() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.persistent("/servers");
            ensemble.stop();
            try (NodeRegistration one = registration(ensemble, "one", 5)) {
                one.start();
                Thread.sleep(500);
                ensemble.start();
                logged("registered");
                ensemble.operator().delete(PATH, -1);
                Stat stat = new Stat();
                while (holds(ensemble.operator(), stat) == null) {
                    Thread.sleep(10);
                }
            }
        }
    }
}
