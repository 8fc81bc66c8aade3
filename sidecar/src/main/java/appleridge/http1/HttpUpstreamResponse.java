package appleridge.http1;

import appleridge.request.UpstreamResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.List;

/** An upstream's response. The outcome tells its status; the body is empty if it is streamed. */
record HttpUpstreamResponse(HttpHeaders headers, byte[] body) implements UpstreamResponse {

    /**
     * The load report, in the order of {@code fields}; empty if it is absent, incomplete or
     * malformed.
     */
    @Override
    public float[] loadReport(List<String> fields) {
        String text = headers.get(Headers.LOAD);
        if (text == null || fields.isEmpty()) {
            return new float[0];
        }
        float[] values = new float[fields.size()];
        Arrays.fill(values, Float.NaN);
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            int at = equals < 0 ? -1 : fields.indexOf(pair.substring(0, equals).trim());
            if (at >= 0) {
                try {
                    values[at] = Float.parseFloat(pair.substring(equals + 1).trim());
                } catch (NumberFormatException e) {
                    return new float[0];
                }
            }
        }
        for (float value : values) {
            if (!Float.isFinite(value) || value < 0) {
                return new float[0];
            }
        }
        return values;
    }
}
