package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs the packaged sidecar on real sockets; it discovers its servers from the coordination
 * stand-in.
 */
@Timeout(180)
class MembershipIT {
    private static final Path JAR = Path.of("..", "sidecar", "target", "appleridge.jar");

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);

    @Test
    void newRequestsStopWithinTwoSecondsOfTheReport() throws Exception {
        Set<CoordinationFault> strikes =
                EnumSet.of(
                        CoordinationFault.CUT,
                        CoordinationFault.RESET,
                        CoordinationFault.HALF,
                        CoordinationFault.LATE,
                        CoordinationFault.EXPIRED,
                        CoordinationFault.RESTART);
        DrainCheck.Result result =
                new DrainCheck(
                                new DrainCheck.Plan(
                                        8,
                                        9,
                                        100,
                                        1,
                                        strikes,
                                        CoordinatedSite.Source.NODES,
                                        CoordinatedSite.MIN_SESSION_TIMEOUT),
                                out)
                        .run(JAR);
        assertTrue(result.held(), output::toString);
        assertTrue(result.ends() > 0, output::toString);
    }

    @Test
    void outageCausesNoLostOrRefusedRequest() throws Exception {
        OutageCheck.Result result =
                new OutageCheck(new OutageCheck.Plan(1, 3, 6, 100, 1, 2000), out).run(JAR);
        assertEquals(0, result.lost(), output::toString);
        assertEquals(0, result.refused(), output::toString);
        assertEquals(1, result.righted().count(), output::toString);
    }
}
