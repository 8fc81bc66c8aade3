package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.Verdict;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Some hundred days of the product: the same ones each time, with the same verdict. */
class SimulationIT {
    private static final int SEEDS = 400;

    @Test
    void noRuleBreaks() {
        Campaign.Result result =
                new Campaign(1, SEEDS, Runtime.getRuntime().availableProcessors()).run();
        System.out.println(result.line());
        assertTrue(
                result.bad().isEmpty(),
                () -> result.bad().stream().map(Verdict::text).collect(Collectors.joining("\n")));
    }
}
