package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SimplerPlansTest {
    private static List<String> simplerLines(String scenario) {
        Plan plan = Plan.parse(scenario);
        List<String> lines = new ArrayList<>();
        for (int index = 0; index < SimplerPlans.places(plan); index++) {
            for (Plan each : SimplerPlans.at(plan, index)) {
                for (String line : each.text().split("\n")) {
                    if (!plan.text().contains(line + "\n")) {
                        lines.add(line);
                    }
                }
            }
        }
        return lines;
    }

    @Test
    void numbersAreRoundedOneAtATimeTheRoundestFirst() {
        assertEquals(
                List.of(
                        "at 3 pause who=n0 for=1.256",
                        "at 3.4 pause who=n0 for=1.256",
                        "at 3.417 pause who=n0 for=1",
                        "at 3.417 pause who=n0 for=1.3",
                        "set rate 20",
                        "set rate 24"),
                simplerLines("seed 1\nset rate 23.963609\nat 3.417 pause who=n0 for=1.256\n"));
    }

    @Test
    void aStateTriggerIsSimplifiedToNoDelayAndTheFirstVisit() {
        assertEquals(
                List.of(
                        "on held 7 move",
                        "on held 7 after 0.002 move",
                        "on held 1 after 0.0017 move"),
                simplerLines("seed 1\non held 7 after 0.0017 move\n"));
    }

    @Test
    void roundNumbersStayAndNumbersOutOfBoundsAreLeftOut() {
        assertEquals(List.of(), simplerLines("seed 1\nset servers 3\nat 3 pause who=n0 for=2\n"));
        // 64 bytes are the minimum of a buffer.
        assertEquals(List.of("set send-buffer 70"), simplerLines("seed 1\nset send-buffer 65\n"));
        assertEquals(List.of("set jitter 1"), simplerLines("seed 1\nset jitter 0.95\n"));
    }

    @Test
    void variantsHaveAsManyNumbersAsTheirPlan() {
        Plan plan = Plan.draw(1);
        for (int index = 0; index < SimplerPlans.places(plan); index++) {
            for (Plan each : SimplerPlans.at(plan, index)) {
                assertEquals(SimplerPlans.places(plan), SimplerPlans.places(each));
            }
        }
    }
}
