package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays drawn runs on the packaged jar: long messages, slow peers, departing clients, repeated ids
 * and floods, up to a SIGTERM under load and the earliest time of SIGKILL. The system property
 * {@code soak.seeds}, as {@code FROM-TO}, plays more seeds than CI does.
 */
@Timeout(3600)
class SoakIT {
    private static final String CI_SEEDS = "1-4";

    @TempDir private Path folder;

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", CI_SEEDS).split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
    }

    /** Guards against faults that only a mix of clients, upstreams and signals brings about. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleBreaks(long seed) throws Exception {
        List<String> violations = new ArrayList<>();
        String log;
        SoakRun run = new SoakRun(folder, seed);
        try {
            violations.addAll(run.play());
            log = run.log();
        } finally {
            run.close();
        }
        assertEquals(List.of(), violations, () -> "seed " + seed + "\n" + tail(log));
    }

    private static String tail(String log) {
        return log.substring(Math.max(0, log.length() - 4000));
    }
}
