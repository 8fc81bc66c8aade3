package appleridge.hotrestart.file;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import appleridge.hotrestart.MaintenanceDirective;
import appleridge.hotrestart.ProcessPhase;
import appleridge.hotrestart.ProcessState;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares with state files that commit 4260e73 wrote. During a hot restart processes of two
 * versions read each other's state files, so a change to code or names must not change a byte.
 */
class StoredStateFileTest {
    private static final List<MaintenanceDirective> DIRECTIVES =
            List.of(
                    new MaintenanceDirective("s-5be2a07c", true, 1_700_000_000_123_456_789L),
                    new MaintenanceDirective("order-7", false, 1_700_000_060_000_000_000L),
                    new MaintenanceDirective("[fd00::1]:8080/~a", true, 7));

    static Stream<Arguments> storedStates() {
        return Stream.of(
                Arguments.of("starting", new ProcessState(ProcessPhase.STARTING, List.of())),
                Arguments.of("serving", new ProcessState(ProcessPhase.SERVING, DIRECTIVES)),
                Arguments.of(
                        "ending",
                        new ProcessState(ProcessPhase.DRAINING, DIRECTIVES.subList(0, 1))));
    }

    private static byte[] stored(String name) throws IOException {
        try (InputStream file =
                StoredStateFileTest.class.getResourceAsStream(
                        "/stored/4260e73/" + name + ".state")) {
            assertNotNull(file, name);
            return file.readAllBytes();
        }
    }

    @ParameterizedTest
    @MethodSource("storedStates")
    void stateWrittenByTheEarlierVersionIsRead(String name, ProcessState state) throws Exception {
        assertEquals(state, ProcessStateCodec.read(stored(name)));
    }

    @ParameterizedTest
    @MethodSource("storedStates")
    void stateIsWrittenByteForByteAsByTheEarlierVersion(String name, ProcessState state)
            throws Exception {
        assertArrayEquals(stored(name), ProcessStateCodec.write(state));
    }
}
