package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;

/** The load report that one server sends in X-Load, refreshed at an interval. */
final class LoadReport {

    /** How much later than usual a late report is refreshed, in nanoseconds. */
    private static final long LATE_DELAY = 5 * Site.SECOND;

    private final long refreshInterval;
    private final SeededRandom chance;
    private long since;
    private int responses;
    private int errors;
    private long totalTime;
    private String text = "rate=0,lat_ms=0,fail_rate=0,q=0";

    LoadReport(long refreshInterval, SeededRandom chance) {
        this.refreshInterval = refreshInterval;
        this.chance = chance;
    }

    void recordResponse(long took, boolean failed) {
        responses++;
        totalTime += took;
        errors += failed ? 1 : 0;
    }

    /** Returns the value of X-Load; null to send none. */
    String text(long now, int queue, LoadReportQuality mode) {
        long due = mode == LoadReportQuality.LATE ? refreshInterval + LATE_DELAY : refreshInterval;
        if (now - since > due) {
            long micros = Math.max(1, (now - since) / 1000);
            text =
                    "rate="
                            + decimal(responses * 1_000_000_000L / micros)
                            + ",lat_ms="
                            + decimal(responses == 0 ? 0 : totalTime / responses / 1000)
                            + ",fail_rate="
                            + decimal(errors * 1_000_000_000L / micros)
                            + ",q="
                            + queue;
            since = now;
            responses = 0;
            errors = 0;
            totalTime = 0;
        }
        return switch (mode) {
            case ABSENT -> null;
            case WRONG ->
                    "rate="
                            + chance.nextInt(100_000)
                            + ",lat_ms="
                            + chance.nextInt(100_000)
                            + ",fail_rate="
                            + chance.nextInt(100)
                            + ",q="
                            + chance.nextInt(1_000_000);
            case UNREADABLE -> unreadable();
            default -> text;
        };
    }

    private String unreadable() {
        return switch (chance.nextInt(6)) {
            case 0 -> "rate=much,lat_ms=,fail_rate=NaN,q=-1";
            case 1 -> "";
            case 2 -> ",,,=,=";
            case 3 -> "rate=1e999,lat_ms=Infinity,fail_rate=0,q=0";
            case 4 -> "q";
            default -> "rate=1,rate=2,lat_ms=3;fail_rate=4 q=5";
        };
    }

    /** Formats a number of thousandths as a decimal. */
    private static String decimal(long thousandths) {
        String fraction = Long.toString(1000 + thousandths % 1000).substring(1);
        return thousandths / 1000 + "." + fraction;
    }
}
