package appleridge.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Each call has its stated answer. */
class AdminCallHandlerTest {
    private final List<String> effects = new ArrayList<>();
    private boolean serves = true;
    private final AdminCallHandler answers =
            new AdminCallHandler(
                    () -> serves,
                    () -> "figures\n",
                    id -> effect("out " + id),
                    id -> effect("back " + id),
                    Runnable::run);

    private MaintenanceOverlay.Result effect(String what) {
        effects.add(what);
        return what.contains("nobody")
                ? new MaintenanceOverlay.Rejected("unknown upstream")
                : new MaintenanceOverlay.Applied(null);
    }

    private String ask(String line) {
        return to(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String to(byte[] line) {
        List<String> told = new ArrayList<>();
        answers.handle(line, told::add);
        assertEquals(1, told.size());
        return told.get(0);
    }

    @Test
    void callsAreCarriedOutAndRepliedTo() {
        assertEquals("YES\n", ask("STATUS"));
        serves = false;
        assertEquals("NO not ready\n", ask(" STATUS\t"));
        assertEquals("figures\n", ask("METRICS"));
        assertEquals("YES\n", ask("SUSPEND s-5be2a07c"));
        assertEquals("YES\n", ask("RESTORE \t s-5be2a07c "));
        assertEquals("NO unknown upstream\n", ask("SUSPEND nobody"));
        assertEquals(List.of("out s-5be2a07c", "back s-5be2a07c", "out nobody"), effects);
    }

    /**
     * Guards against an effect of what was no call, and against an answer that nobody understands.
     */
    @Test
    void malformedCallIsRefusedWithAReasonAndHasNoEffect() {
        assertEquals("NO empty call\n", ask(""));
        assertEquals("NO empty call\n", ask("   "));
        for (String unknown : new String[] {"status", "HELLO", "SUSPENDED a", "SUSPEND\u000ba"}) {
            assertTrue(ask(unknown).matches("NO (unknown call|not text)\n"), unknown);
        }
        assertEquals("NO SUSPEND takes one id\n", ask("SUSPEND"));
        assertEquals("NO SUSPEND takes one id\n", ask("SUSPEND a b"));
        assertEquals("NO RESTORE takes one id\n", ask("RESTORE " + "x".repeat(257)));
        assertEquals("NO STATUS takes no argument\n", ask("STATUS now"));
        assertEquals("NO METRICS takes no argument\n", ask("METRICS a"));
        assertEquals("NO not text\n", ask("SUSPEND s\u00e9"));
        assertEquals("NO not text\n", ask("\u0000"));
        assertEquals("NO unknown call\n", ask("x".repeat(AdminCall.MAX_BYTES)));
        assertEquals("NO line too long\n", ask("x".repeat(AdminCall.MAX_BYTES + 1)));
        assertEquals(List.of(), effects);
    }

    @Test
    void anyBytesAreRepliedToWithOneLine() {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            byte[] line = new byte[random.nextInt(40)];
            random.nextBytes(line);
            String answer = to(line);
            assertTrue(answer.matches("(YES|NO [ -~]+|figures)\n"), answer);
        }
    }
}
