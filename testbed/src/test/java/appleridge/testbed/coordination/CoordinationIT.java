package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.Watcher.Event.KeeperState;
import org.apache.zookeeper.ZooKeeper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The packaged stand-in as a process of its own. */
@Timeout(60)
class CoordinationIT {
    private static Process start(String... words) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-jar",
                                "target/testbed.jar",
                                "coordination"));
        command.addAll(List.of(words));
        return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    }

    private static void await(BlockingQueue<KeeperState> states, KeeperState wanted)
            throws Exception {
        KeeperState next;
        do {
            next = states.poll(30, TimeUnit.SECONDS);
            assertNotNull(next, "never " + wanted);
        } while (next != wanted);
    }

    @Test
    void threeMembersInOneProcessPlayTheScriptsOfItsInput() throws Exception {
        Process process =
                start(
                        "--listen",
                        "127.0.0.1:0",
                        "--listen",
                        "127.0.0.1:0",
                        "--listen",
                        "127.0.0.1:0",
                        "--most",
                        "5000");
        try (BufferedReader said = process.inputReader();
                PrintWriter tell =
                        new PrintWriter(process.getOutputStream(), true, StandardCharsets.UTF_8)) {
            List<String> addresses = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                addresses.add(said.readLine().replace("listening ", ""));
            }
            BlockingQueue<KeeperState> states = new LinkedBlockingQueue<>();
            ZooKeeper client =
                    new ZooKeeper(
                            addresses.get(0) + "," + addresses.get(1),
                            20_000,
                            event -> states.add(event.getState()));
            await(states, KeeperState.SyncConnected);
            assertEquals(5000, client.getSessionTimeout());
            client.create("/a", new byte[0], Rules.OPEN_ACL, CreateMode.EPHEMERAL);
            tell.println("sessions");
            assertEquals("ok 0x" + Long.toHexString(client.getSessionId()), said.readLine());
            tell.println("cut 3");
            assertEquals("ok", said.readLine());
            tell.println("stop 2");
            assertEquals("ok", said.readLine());
            await(states, KeeperState.Disconnected);
            tell.println("heal");
            assertEquals("ok", said.readLine());
            await(states, KeeperState.SyncConnected);
            assertEquals(client.getSessionId(), client.exists("/a", false).getEphemeralOwner());
            tell.println("changes");
            assertTrue(said.readLine().startsWith("ok 2 "));
            tell.println("expire 1");
            assertEquals("no: no such session", said.readLine());
            tell.println("expire 0x" + Long.toHexString(client.getSessionId()));
            assertEquals("ok", said.readLine());
            await(states, KeeperState.Expired);
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void senselessWordsAreRefused() throws Exception {
        assertEquals(2, start("--listen", "nowhere").waitFor());
        assertEquals(2, start("--tick", "50").waitFor());
    }
}
