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

/** Runs the packaged stand-in as a separate process. */
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
            assertNotNull(next, "no event " + wanted);
        } while (next != wanted);
    }

    @Test
    void executesCommandsFromStandardInput() throws Exception {
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
        try (BufferedReader output = process.inputReader();
                PrintWriter input =
                        new PrintWriter(process.getOutputStream(), true, StandardCharsets.UTF_8)) {
            List<String> addresses = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                addresses.add(output.readLine().replace("listening ", ""));
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
            input.println("sessions");
            assertEquals("ok 0x" + Long.toHexString(client.getSessionId()), output.readLine());
            input.println("cut 3");
            assertEquals("ok", output.readLine());
            input.println("stop 2");
            assertEquals("ok", output.readLine());
            await(states, KeeperState.Disconnected);
            input.println("heal");
            assertEquals("ok", output.readLine());
            await(states, KeeperState.SyncConnected);
            assertEquals(client.getSessionId(), client.exists("/a", false).getEphemeralOwner());
            input.println("changes");
            assertTrue(output.readLine().startsWith("ok 2 "));
            input.println("expire 1");
            assertEquals("no: no such session", output.readLine());
            input.println("expire 0x" + Long.toHexString(client.getSessionId()));
            assertEquals("ok", output.readLine());
            await(states, KeeperState.Expired);
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void rejectsInvalidOptions() throws Exception {
        assertEquals(2, start("--listen", "nowhere").waitFor());
        assertEquals(2, start("--tick", "50").waitFor());
    }
}
