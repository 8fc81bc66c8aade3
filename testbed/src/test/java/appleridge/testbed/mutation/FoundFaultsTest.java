package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * The judge sees: each planted fault breaks its rule on the day kept for it, which is clean without
 * it.
 */
class FoundFaultsTest {
    @Test
    void eachIsSeenOnItsDay() throws IOException {
        List<PlantedFault> faults =
                FaultFile.packed().stream().filter(PlantedFault::showable).toList();
        PlantedRun run =
                new PlantedRun(
                        new Planter(), Math.min(4, Runtime.getRuntime().availableProcessors()));
        String wrong =
                run.check(faults, finding -> {}).stream()
                        .filter(finding -> !PlantedRun.isAsRecorded(finding))
                        .map(finding -> finding.fault().name() + ": " + finding.said())
                        .collect(Collectors.joining("\n"));
        assertTrue(wrong.isEmpty(), wrong);
    }
}
