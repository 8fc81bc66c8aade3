package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;

/** The load report of one server, refreshed now and then. */
final class LoadReport {
    private final long age;
    private final SeededRandom chance;
    private long since;
    private int answers;
    private int errors;
    private long served;
    private String text = "rate=0,lat_ms=0,fail_rate=0,q=0";

    LoadReport(long age, SeededRandom chance) {
        this.age = age;
        this.chance = chance;
    }

    void recordResponse(long took, boolean failed) {
        answers++;
        served += took;
        errors += failed ? 1 : 0;
    }

    /** The value of X-Load; null for none. */
    String text(long now, int queue, Report how) {
        long due = how == Report.LATE ? age + 5 * Site.SECOND : age;
        if (now - since > due) {
            long micros = Math.max(1, (now - since) / 1000);
            text =
                    "rate="
                            + decimal(answers * 1_000_000_000L / micros)
                            + ",lat_ms="
                            + decimal(answers == 0 ? 0 : served / answers / 1000)
                            + ",fail_rate="
                            + decimal(errors * 1_000_000_000L / micros)
                            + ",q="
                            + queue;
            since = now;
            answers = 0;
            errors = 0;
            served = 0;
        }
        return switch (how) {
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

    /** Thousandths as a decimal. */
    private static String decimal(long thousandths) {
        String fraction = Long.toString(1000 + thousandths % 1000).substring(1);
        return thousandths / 1000 + "." + fraction;
    }
}
