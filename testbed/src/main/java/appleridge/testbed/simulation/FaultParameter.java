package appleridge.testbed.simulation;

import java.util.Locale;

/** A numeric parameter of a fault. */
public enum FaultParameter {
    /** How long the fault lasts. */
    FOR(Unit.TIME, 0, 4000 * Site.SECOND),
    /** How long a process stays down. */
    DOWN(Unit.TIME, 0, 120 * Site.SECOND),
    /** By how much something is shifted or delayed. */
    BY(Unit.TIME, -86_400 * Site.SECOND, 86_400 * Site.SECOND),
    /** By which factor something is slower. */
    FACTOR(Unit.PART, ScenarioParameter.part(1), ScenarioParameter.part(1000)),
    /** A rate per second. */
    RATE(Unit.PART, 0, ScenarioParameter.part(10_000)),
    /** A count. */
    COUNT(Unit.COUNT, 0, 100_000),
    /** A number of bytes. */
    BYTES(Unit.COUNT, 0, 100_000_000);

    private final Unit unit;
    private final long min;
    private final long max;

    FaultParameter(Unit unit, long min, long max) {
        this.unit = unit;
        this.min = min;
        this.max = max;
    }

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    String text(long value) {
        return unit.text(value);
    }

    long parse(String text) {
        long value = unit.parse(text);
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    word()
                            + "="
                            + text
                            + " is not between "
                            + unit.text(min)
                            + " and "
                            + unit.text(max));
        }
        return value;
    }
}
