package appleridge.discovery.zookeeper;

import static org.junit.jupiter.api.Assertions.assertEquals;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SystemLog;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What waits for the loop: its order, and its bound. */
class MailboxTest {
    private final EventLoop executor = new DefaultEventLoop();
    private final SidecarEventLoop loop =
            new SidecarEventLoop(
                    executor, () -> 0, new SystemLog(() -> 0, System.Logger.Level.DEBUG));
    private final RecordingSessionListener heard =
            new RecordingSessionListener(executor::inEventLoop);
    private final Mailbox mailbox = new Mailbox(loop, heard);

    @AfterEach
    void end() {
        executor.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** What is told after all of this came while the loop stood. */
    private List<String> told(Runnable posts) throws Exception {
        executor.submit(
                        () -> {
                            posts.run();
                            mailbox.deliverAll();
                        })
                .get();
        List<String> lines = new ArrayList<>();
        heard.lines.drainTo(lines);
        return lines;
    }

    @Test
    void orderIsKeptAndOfEachNodeTheLastChange() throws Exception {
        NodeRead unread = NodeJsonParser.unread("x", 1);
        assertEquals(
                List.of(
                        "gone a",
                        "changed a",
                        "read a ?x",
                        "changed b",
                        "session SUSPENDED",
                        "gone a"),
                told(
                        () -> {
                            mailbox.changed(1, 1, "a");
                            mailbox.read("a", unread);
                            mailbox.deleted(2, 2, "a");
                            mailbox.changed(3, 3, "a");
                            mailbox.changed(3, 3, "b");
                            mailbox.changed(4, 4, "a");
                            mailbox.read("a", unread);
                            mailbox.session(SessionState.SUSPENDED);
                            mailbox.changed(5, 5, "a");
                            mailbox.deleted(6, 6, "a");
                        }));
    }

    @Test
    void mailboxIsBoundedWhileTheLoopIsStalled() throws Exception {
        List<String> lines =
                told(
                        () -> {
                            for (int i = 1; i <= 10_000; i++) {
                                mailbox.session(SessionState.SUSPENDED);
                                mailbox.deleted(i, i, "a");
                                mailbox.session(SessionState.CONNECTED);
                                mailbox.stale(StalenessCause.ROOT_MISSING);
                                mailbox.snapshot(i, i, Map.of(), () -> {});
                                mailbox.changed(i, i, "a");
                            }
                        });
        assertEquals(
                List.of("snapshot {}", "changed a"), lines.subList(lines.size() - 2, lines.size()));
        assertEquals(true, lines.size() < 80, lines.size() + " lines");
        assertEquals("gone a", lines.get(0));
    }

    @Test
    void manyChangesAreDeliveredInSeveralTurns() throws Exception {
        for (int i = 0; i < 1000; i++) {
            mailbox.changed(1, 1, "s" + i);
        }
        for (int i = 0; i < 1000; i++) {
            heard.next("changed s" + i);
        }
    }
}
