package appleridge.discovery.zookeeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** Order and bound of what waits in a mailbox for the event loop. */
class MailboxTest {
    private final EventLoop executor = new DefaultEventLoop();
    private final SidecarEventLoop loop =
            new SidecarEventLoop(
                    executor, () -> 0, new SystemLog(() -> 0, System.Logger.Level.DEBUG));
    private final RecordingSessionListener listener =
            new RecordingSessionListener(executor::inEventLoop);
    private final Mailbox mailbox = new Mailbox(loop, listener);

    @AfterEach
    void shutDownLoop() {
        executor.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** The calls that are delivered after {@code posts} has run while the loop was stalled. */
    private List<String> deliveredAfter(Runnable posts) throws Exception {
        executor.submit(
                        () -> {
                            posts.run();
                            mailbox.deliverAll();
                        })
                .get();
        List<String> lines = new ArrayList<>();
        listener.lines.drainTo(lines);
        return lines;
    }

    @Test
    void orderIsKeptAndOnlyTheLastChangeOfEachNodeIsDelivered() throws Exception {
        NodeRead unread = NodeJsonParser.unread("x", 1);
        assertEquals(
                List.of(
                        "deleted a",
                        "changed a",
                        "read a ?x",
                        "changed b",
                        "session SUSPENDED",
                        "deleted a"),
                deliveredAfter(
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
                deliveredAfter(
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
        assertTrue(lines.size() < 80, lines.size() + " lines");
        assertEquals("deleted a", lines.get(0));
    }

    @Test
    void manyChangesAreDeliveredInSeveralTurns() throws Exception {
        for (int i = 0; i < 1000; i++) {
            mailbox.changed(1, 1, "s" + i);
        }
        for (int i = 0; i < 1000; i++) {
            listener.next("changed s" + i);
        }
    }
}
