package appleridge.admin;

import appleridge.request.RequestMetrics;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The sidecar's figures: counts since its start, by class, and gauges as of now. Written in the
 * text form of OpenMetrics 1.0, which most collectors read. Danger: a figure that is counted in two
 * places is wrong in one.
 */
public final class OpenMetricsReport implements RequestMetrics {
    private static final String PREFIX = "appleridge_";

    private final List<String> classes;
    private final long[] taken;
    private final long[][] ended;
    private final long[] attempts;
    private final long[] further;
    private long malformed;
    private final Map<String, LongSupplier> gauges = new LinkedHashMap<>();

    /** With the names of the request classes. */
    public OpenMetricsReport(List<String> classes) {
        this.classes = List.copyOf(classes);
        this.taken = new long[classes.size()];
        this.ended = new long[RequestEnd.values().length][classes.size()];
        this.attempts = new long[classes.size()];
        this.further = new long[classes.size()];
    }

    /** One more value that is asked for whenever the figures are. */
    public OpenMetricsReport gauge(String name, LongSupplier value) {
        gauges.put(name, value);
        return this;
    }

    @Override
    public void onRequestAccepted(int requestClass) {
        taken[requestClass]++;
    }

    @Override
    public void onRequestEnded(int requestClass, RequestEnd how) {
        ended[how.ordinal()][requestClass]++;
    }

    @Override
    public void onAttemptSent(int requestClass, boolean again) {
        attempts[requestClass]++;
        if (again) {
            further[requestClass]++;
        }
    }

    @Override
    public void onMalformedRequest() {
        malformed++;
    }

    /** All of them. */
    public String text() {
        List<String> lines = new ArrayList<>();
        byClass(lines, "requests", taken);
        for (RequestEnd how : RequestEnd.values()) {
            byClass(lines, "requests_" + how.metricWord(), ended[how.ordinal()]);
        }
        byClass(lines, "attempts", attempts);
        byClass(lines, "attempts_further", further);
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
