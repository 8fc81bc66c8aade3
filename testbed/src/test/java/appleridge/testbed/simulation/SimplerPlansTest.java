package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SimplerPlansTest {
    private static List<String> simpler(String scenario) {
        Plan plan = Plan.parse(scenario);
        List<String> lines = new ArrayList<>();
        for (int place = 0; place < SimplerPlans.places(plan); place++) {
            for (Plan each : SimplerPlans.at(plan, place)) {
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
    void numbersAreMadeRounderOneByOneTheRoundestFirst() {
        assertEquals(
                List.of(
                        "at 3 pause who=n0 for=1.256",
                        "at 3.4 pause who=n0 for=1.256",
                        "at 3.417 pause who=n0 for=1",
                        "at 3.417 pause who=n0 for=1.3",
                        "set rate 20",
                        "set rate 24"),
                simpler("seed 1\nset rate 23.963609\nat 3.417 pause who=n0 for=1.256\n"));
    }

    @Test
    void aTrapStrikesAtOnceAndOnTheFirstVisit() {
        assertEquals(
                List.of(
                        "on held 7 move",
                        "on held 7 after 0.002 move",
                        "on held 1 after 0.0017 move"),
                simpler("seed 1\non held 7 after 0.0017 move\n"));
    }

    @Test
    void whatIsRoundStaysAndWhatIsOutOfBoundsIsNoPlan() {
        assertEquals(List.of(), simpler("seed 1\nset servers 3\nat 3 pause who=n0 for=2\n"));
        // 64 bytes are the least that a buffer holds.
        assertEquals(List.of("set send-buffer 70"), simpler("seed 1\nset send-buffer 65\n"));
        assertEquals(List.of("set jitter 1"), simpler("seed 1\nset jitter 0.95\n"));
    }

    @Test
    void thePlacesAreTheSameAfterwards() {
        Plan plan = Plan.draw(1);
        for (int place = 0; place < SimplerPlans.places(plan); place++) {
            for (Plan each : SimplerPlans.at(plan, place)) {
                assertEquals(SimplerPlans.places(plan), SimplerPlans.places(each));
            }
        }
    }
}
