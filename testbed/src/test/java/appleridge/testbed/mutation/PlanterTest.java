package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.loadbalancing.Outcome;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PlanterTest {
    private static final String OUTCOME = "appleridge.loadbalancing.Outcome";
    private final Planter planter;

    PlanterTest() throws IOException {
        planter = new Planter();
    }

    /**
     * Holds for as long as the product's lines are where the faults say, and tells of all that
     * aren't.
     */
    @Test
    void everyFaultIsPlantedInTodaysSources() throws IOException {
        List<String> wrong = new ArrayList<>();
        for (PlantedFault fault : FaultFile.packed()) {
            try {
                planter.plant(fault);
            } catch (IllegalStateException e) {
                wrong.add(e.getMessage());
            }
        }
        assertTrue(wrong.isEmpty(), () -> String.join("\n", wrong));
    }

    @Test
    void changedClassIsSeenThroughTheLoaderAlone() throws ReflectiveOperationException {
        PlantedLoader loader = planter.plant(fault("Outcome", "RESET(false),", "RESET(true),"));
        assertTrue(resetProvesNeverRan(loader));
        assertFalse(Outcome.RESET.provesNotExecuted());
    }

    @Test
    void projectIsLoadedAnewAndAllElseIsShared() throws ClassNotFoundException {
        PlantedLoader loader = planter.plant(fault("Outcome", "RESET(false),", "RESET(true),"));
        Class<?> unchanged = loader.loadClass("appleridge.loadbalancing.SymmetricRoundRobinPolicy");
        assertSame(loader, unchanged.getClassLoader());
        assertSame(
                loader.loadClass("appleridge.loadbalancing.LoadBalancingPolicy"),
                unchanged.getInterfaces()[0]);
        assertSame(ByteBuf.class, loader.loadClass(ByteBuf.class.getName()));
        assertNotSame(
                unchanged,
                planter.plant(fault("Outcome", "RESET(false),", "RESET(true),"))
                        .loadClass(unchanged.getName()));
        assertThrows(ClassNotFoundException.class, () -> loader.loadClass("appleridge.Absent"));
    }

    @Test
    void faultThatCannotBePlantedIsToldByName() {
        assertEquals("f: no file Absent", told(fault("Absent", "a", "b")));
        assertEquals(
                "f: fragment not found in Outcome: RESET(maybe)",
                told(fault("Outcome", "RESET(maybe)", "")));
        assertEquals(
                "f: fragment more than once in Outcome: (true)",
                told(fault("Outcome", "(true)", "(false)")));
        assertTrue(
                told(fault("Outcome", "RESET(false),", "RESET(maybe),"))
                        .startsWith("f: appleridge/loadbalancing/Outcome.java does not compile: "));
    }

    @Test
    void fileIsNamedWithAsManyPackagesAsItTakes() {
        PackedSources sources =
                new PackedSources(
                        Map.of(
                                "appleridge/loadbalancing/LoadBalancingPolicy.java",
                                "here",
                                "appleridge/testbed/mutation/LoadBalancingPolicy.java",
                                "a copy left behind by an earlier build"));
        assertEquals(
                "appleridge/loadbalancing/LoadBalancingPolicy.java",
                sources.path("LoadBalancingPolicy"));
        PackedSources two =
                new PackedSources(
                        Map.of(
                                "appleridge/testbed/Main.java",
                                "",
                                "appleridge/daemon/Main.java",
                                ""));
        assertEquals("appleridge/daemon/Main.java", two.path("daemon/Main"));
        assertEquals(
                "more than one file: appleridge/daemon/Main.java,"
                        + " appleridge/testbed/Main.java",
                assertThrows(IllegalStateException.class, () -> two.path("Main")).getMessage());
    }

    private String told(PlantedFault fault) {
        return assertThrows(IllegalStateException.class, () -> planter.plant(fault)).getMessage();
    }

    private static boolean resetProvesNeverRan(ClassLoader loader)
            throws ReflectiveOperationException {
        Class<?> outcome = loader.loadClass(OUTCOME);
        Object reset = outcome.getField("RESET").get(null);
        return (boolean) outcome.getMethod("provesNotExecuted").invoke(reset);
    }

    private static PlantedFault fault(String file, String original, String replacement) {
        return new PlantedFault(
                "f",
                "Something.",
                List.of(new Edit(file, null, original, replacement)),
                List.of("LOST"),
                null,
                null);
    }
}
