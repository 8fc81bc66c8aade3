package appleridge.admin;

import appleridge.request.RequestMetrics;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Renders the sidecar's metrics in the OpenMetrics 1.0 text format: counters per request class
 * since the start of the process, and gauges read at the time of the report. Each event is counted
 * in one place only. Metric names are stable, because operators' collectors depend on them. Event
 * loop only.
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

    /**
     * Creates a report for request classes, whose names are given in the order of their indexes.
     */
    public OpenMetricsReport(List<String> classes) {
        this.classes = List.copyOf(classes);
        this.accepted = new long[classes.size()];
        this.ended = new long[RequestEnd.values().length][classes.size()];
        this.attempts = new long[classes.size()];
        this.retries = new long[classes.size()];
    }

    /** Adds a gauge, whose value is read for each report. Returns this report. */
    public OpenMetricsReport gauge(String name, LongSupplier value) {
        gauges.put(name, value);
        return this;
    }

    @Override
    public void onRequestAccepted(int requestClass) {
        accepted[requestClass]++;
    }

    @Override
    public void onRequestEnded(int requestClass, RequestEnd end) {
        ended[end.ordinal()][requestClass]++;
    }

    @Override
    public void onAttemptSent(int requestClass, boolean retry) {
        attempts[requestClass]++;
        if (retry) {
            retries[requestClass]++;
        }
    }

    @Override
    public void onMalformedRequest() {
        malformed++;
    }

    /** Returns all metrics, one per line, ending with the {@code # EOF} line. */
    public String text() {
        List<String> lines = new ArrayList<>();
        byClass(lines, "requests", accepted);
        for (RequestEnd end : RequestEnd.values()) {
            byClass(lines, "requests_" + end.metricSuffix(), ended[end.ordinal()]);
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
                            + escapeLabel(classes.get(i))
                            + "\"} "
                            + values[i]);
        }
    }

    private static String escapeLabel(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
