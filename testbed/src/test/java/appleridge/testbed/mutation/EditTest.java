package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class EditTest {
    private static final String SOURCE =
            """
            class A {
                void one() {
                    if (x) {
                        close();
                    }
                }

                void two() {
                    close();
                    open();
                }
            }
            """;

    @Test
    void replacesTheOnePlace() {
        assertEquals(
                SOURCE.replace("open();", "shut();"), edit(null, "open();", "shut();").in(SOURCE));
    }

    @Test
    void blockEndsAtItsOwnBrace() {
        assertEquals(
                SOURCE.replace("            close();", "            "),
                edit("void one() {", "close();", "").in(SOURCE));
    }

    @Test
    void anythingButOnePlaceIsAnError() {
        refuses("fragment more than once in A: close();", null, "close();");
        refuses("fragment not found in A: stop();", null, "stop();");
        refuses("fragment not found in A: open();", "void one() {", "open();");
        refuses("block not found in A: void three() {", "void three() {", "open();");
        refuses("block more than once in A: void ", "void ", "open();");
    }

    @Test
    void whiteSpaceDoesNotCountWhereAFragmentIsLookedFor() {
        assertEquals(
                SOURCE.replace("open();", "shut();"),
                edit("void two()\t{", "open( );", "shut();").in(SOURCE));
        assertEquals(
                SOURCE.replace("close();\n        open();", "shut();"),
                edit("void two() {", "close(); open();", "shut();").in(SOURCE));
    }

    private static void refuses(String why, String within, String original) {
        assertEquals(
                why,
                assertThrows(
                                IllegalStateException.class,
                                () -> edit(within, original, "").in(SOURCE))
                        .getMessage());
    }

    private static Edit edit(String within, String original, String replacement) {
        return new Edit("A", within, original, replacement);
    }
}
