package appleridge.admin;

import appleridge.request.RequestMetrics;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The sidecar's metrics in the text form of OpenMetrics 1.0: counters since its start, by request
 * class, and gauges as of now. Each event is counted in one place only. Event loop only. Names of
 * metrics stay as they are: operators' collectors know them.
 */
public final class OpenMetricsReport implements RequestMetrics {
    private static final String PREFIX = "appleridge_";

    private final List<String> classes;
    private final long[] accepted;
    private final long[][] ended;
    private final long[] attempts;
    private final long[] retries;
    private long malformed;
    private final Map<String, LongSupplier> gauges = new LinkedHashMap<>();

    /** With the names of the request classes, by their index. */
    public OpenMetricsReport(List<String> classes) {
        this.classes = List.copyOf(classes);
        this.accepted = new long[classes.size()];
        this.ended = new long[RequestEnd.values().length][classes.size()];
        this.attempts = new long[classes.size()];
        this.retries = new long[classes.size()];
    }

    /** Adds a gauge, asked for whenever the text is; returns this. */
    public OpenMetricsReport gauge(String name, LongSupplier value) {
        gauges.put(name, value);
        return this;
    }

    @Override
    public void onRequestAccepted(int requestClass) {
        accepted[requestClass]++;
    }

    @Override
    public void onRequestEnded(int requestClass, RequestEnd how) {
        ended[how.ordinal()][requestClass]++;
    }

    @Override
    public void onAttemptSent(int requestClass, boolean further) {
        attempts[requestClass]++;
        if (further) {
            retries[requestClass]++;
        }
    }

    @Override
    public void onMalformedRequest() {
        malformed++;
    }

    /** All metrics, with an end of line after each. */
    public String text() {
        List<String> lines = new ArrayList<>();
        byClass(lines, "requests", accepted);
        for (RequestEnd how : RequestEnd.values()) {
            byClass(lines, "requests_" + how.metricSuffix(), ended[how.ordinal()]);
        }
        byClass(lines, "attempts", attempts);
        byClass(lines, "attempts_further", retries);
        lines.add("# TYPE " + PREFIX + "malformed counter");
        lines.add(PREFIX + "malformed_total " + malformed);
        gauges.forEach(
                (name, value) -> {
                    lines.add("# TYPE " + PREFIX + name + " gauge");
                    lines.add(PREFIX + name + " " + value.getAsLong());
                });
        lines.add("# EOF");
        return String.join("\n", lines) + "\n";
    }

    private void byClass(List<String> lines, String name, long[] values) {
        lines.add("# TYPE " + PREFIX + name + " counter");
        for (int i = 0; i < values.length; i++) {
            lines.add(
                    PREFIX
                            + name
                            + "_total{class=\""
                            + escaped(classes.get(i))
                            + "\"} "
                            + values[i]);
        }
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
