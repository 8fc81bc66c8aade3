package appleridge.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Replies to valid, invalid and random lines. */
class AdminCallHandlerTest {
    private final List<String> directives = new ArrayList<>();
    private boolean ready = true;
    private final AdminCallHandler handler =
            new AdminCallHandler(
                    () -> ready,
                    () -> "metrics\n",
                    id -> apply("suspend " + id),
                    id -> apply("restore " + id),
                    Runnable::run);

    private MaintenanceOverlay.Result apply(String directive) {
        directives.add(directive);
        return directive.contains("unlisted")
                ? new MaintenanceOverlay.Rejected("unknown upstream")
                : new MaintenanceOverlay.Applied(null);
    }

    private String call(String line) {
        return handle(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String handle(byte[] line) {
        List<String> replies = new ArrayList<>();
        handler.handle(line, replies::add);
        assertEquals(1, replies.size());
        return replies.get(0);
    }

    @Test
    void callsAreExecutedAndRepliedTo() {
        assertEquals("YES\n", call("STATUS"));
        ready = false;
        assertEquals("NO not ready\n", call(" STATUS\t"));
        assertEquals("metrics\n", call("METRICS"));
        assertEquals("YES\n", call("SUSPEND s-5be2a07c"));
        assertEquals("YES\n", call("RESTORE \t s-5be2a07c "));
        assertEquals("NO unknown upstream\n", call("SUSPEND unlisted"));
        assertEquals(
                List.of("suspend s-5be2a07c", "restore s-5be2a07c", "suspend unlisted"),
                directives);
    }

    /** Guards against a malformed line that changes a host, or gets a reply without a reason. */
    @Test
    void malformedCallIsRejectedWithReasonAndHasNoEffect() {
        assertEquals("NO empty call\n", call(""));
        assertEquals("NO empty call\n", call("   "));
        for (String unknown : new String[] {"status", "HELLO", "SUSPENDED a", "SUSPEND\u000ba"}) {
            assertTrue(call(unknown).matches("NO (unknown call|not text)\n"), unknown);
        }
        assertEquals("NO SUSPEND takes one id\n", call("SUSPEND"));
        assertEquals("NO SUSPEND takes one id\n", call("SUSPEND a b"));
        assertEquals("NO RESTORE takes one id\n", call("RESTORE " + "x".repeat(257)));
        assertEquals("NO STATUS takes no argument\n", call("STATUS now"));
        assertEquals("NO METRICS takes no argument\n", call("METRICS a"));
        assertEquals("NO not text\n", call("SUSPEND s\u00e9"));
        assertEquals("NO not text\n", call("\u0000"));
        assertEquals("NO unknown call\n", call("x".repeat(AdminCall.MAX_BYTES)));
        assertEquals("NO line too long\n", call("x".repeat(AdminCall.MAX_BYTES + 1)));
        assertEquals(List.of(), directives);
    }

    @Test
    void randomBytesGetOneReplyLine() {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            byte[] line = new byte[random.nextInt(40)];
            random.nextBytes(line);
            String reply = handle(line);
            assertTrue(reply.matches("(YES|NO [ -~]+|metrics)\n"), reply);
        }
    }
}
