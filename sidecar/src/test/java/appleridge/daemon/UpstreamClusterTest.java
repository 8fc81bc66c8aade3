package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Values that an upstream cluster derives from the settings. */
class UpstreamClusterTest {
    /** The maximum pause of a response for a shortest latency objective, both in milliseconds. */
    private static long maxPause(long objective) throws IOException {
        String json =
                LoopbackSidecar.json(LoopbackSidecar.SettingValues.DEFAULT, "127.0.0.1:9")
                        .replaceAll(
                                "\"slo\":1000000000",
                                "\"slo\":" + TimeUnit.MILLISECONDS.toNanos(objective));
        return TimeUnit.NANOSECONDS.toMillis(
                UpstreamCluster.maxResponsePauseNanos(
                        SidecarConfig.parse(json.getBytes(StandardCharsets.UTF_8)).settings()));
    }

    /**
     * Guards against a connection that the sidecar resets only because a TCP segment was lost or
     * the upstream writes a response in pieces.
     */
    @Test
    void responseMayPauseForALostSegment() throws Exception {
        for (long objective : new long[] {50, 200, 499, 500, 700, 1000, 3000}) {
            assertTrue(
                    maxPause(objective) > 200,
                    "longer than the minimum TCP retransmission time-out; objective " + objective);
            assertTrue(
                    objective < 500 || maxPause(objective) <= objective / 2,
                    "half of the objective is left for another attempt; objective " + objective);
        }
        assertEquals(600, maxPause(3000));
    }
}
