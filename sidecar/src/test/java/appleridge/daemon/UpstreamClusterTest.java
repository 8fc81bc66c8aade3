package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a service's parts are set to. */
class UpstreamClusterTest {
    /** The pause that is granted where the shortest aim is so long, both in milliseconds. */
    private static long stall(long aim) throws IOException {
        String json =
                LoopbackSidecar.json(LoopbackSidecar.SettingValues.DEFAULT, "127.0.0.1:9")
                        .replaceAll(
                                "\"slo\":1000000000",
                                "\"slo\":" + TimeUnit.MILLISECONDS.toNanos(aim));
        return TimeUnit.NANOSECONDS.toMillis(
                UpstreamCluster.maxResponsePauseNanos(
                        SidecarConfig.parse(json.getBytes(StandardCharsets.UTF_8)).settings()));
    }

    /**
     * Guards against a lost segment, or a server that writes in pieces, made a reset of our own.
     */
    @Test
    void responseMayPauseForALostSegment() throws Exception {
        for (long aim : new long[] {50, 200, 499, 500, 700, 1000, 3000}) {
            assertTrue(stall(aim) > 200, "TCP's least retransmission time; aim " + aim);
            assertTrue(
                    aim < 500 || stall(aim) <= aim / 2,
                    "another attempt has half the time; aim " + aim);
        }
        assertEquals(600, stall(3000));
    }
}
