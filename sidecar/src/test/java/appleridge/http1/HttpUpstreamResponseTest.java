package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;

class HttpUpstreamResponseTest {
    @Test
    void malformedOrIncompleteLoadReportIsIgnored() {
        List<String> fields = List.of("rate", "q");
        assertArrayEquals(new float[] {3, 2}, loadReport("q=2,other=9, rate=3.0", fields));
        for (String malformed :
                List.of("", "q=2", "q=2,rate=x", "q=2,rate=NaN", "q=-1,rate=1", "=,=", "q")) {
            assertEquals(0, loadReport(malformed, fields).length, malformed);
        }
    }

    private static float[] loadReport(String text, List<String> fields) {
        HttpHeaders headers = new DefaultHttpHeaders().set(Headers.LOAD, text);
        return new HttpUpstreamResponse(headers, new byte[0]).loadReport(fields);
    }
}
