package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

class ReducerTest {
    @Test
    void leavesOnlyWhatItTakes() {
        assertEquals(
                "c\nf\n",
                reduced("a\nb\nc\nd\ne\nf\ng\n", text -> text.contains("c") && text.contains("f")));
        assertEquals("", reduced("a\nb\n", text -> true));
        assertEquals("a\nb\nc\n", reduced("a\nb\nc\n", text -> text.length() == 6));
    }

    @Test
    void linesThatGoOnlyTogetherOrOneAfterTheOther() {
        assertEquals(
                "d\n",
                reduced(
                        "a\nb\nc\nd\n",
                        text -> text.contains("d") && text.contains("a") == text.contains("b")));
        assertEquals(
                "d\n",
                reduced(
                        "a\nb\nc\nd\n",
                        text ->
                                text.contains("d")
                                        && (!text.contains("a") || text.contains("b"))
                                        && (!text.contains("b") || text.contains("c"))));
    }

    private static String reduced(String text, Predicate<String> holds) {
        return new Reducer(holds).reduce(text);
    }
}
