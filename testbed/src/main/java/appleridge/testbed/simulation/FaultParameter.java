package appleridge.testbed.simulation;

import java.util.Locale;

/** A figure that a fault has. */
public enum FaultParameter {
    /** How long it lasts. */
    FOR(Unit.TIME, 0, 4000 * Site.SECOND),
    /** How long what has ended stays away. */
    DOWN(Unit.TIME, 0, 120 * Site.SECOND),
    /** By how much something is moved or delayed. */
    BY(Unit.TIME, -86_400 * Site.SECOND, 86_400 * Site.SECOND),
    /** By how much something is slower. */
    FACTOR(Unit.PART, ScenarioParameter.part(1), ScenarioParameter.part(1000)),
    /** How many a second. */
    RATE(Unit.PART, 0, ScenarioParameter.part(10_000)),
    /** How many. */
    COUNT(Unit.COUNT, 0, 100_000),
    /** How many bytes on. */
    BYTES(Unit.COUNT, 0, 100_000_000);

    private final Unit unit;
    private final long least;
    private final long most;

    FaultParameter(Unit unit, long least, long most) {
        this.unit = unit;
        this.least = least;
        this.most = most;
    }

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    String text(long value) {
        return unit.text(value);
    }

    long parse(String text) {
        long value = unit.parse(text);
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    word()
                            + "="
                            + text
                            + " is not between "
                            + unit.text(least)
                            + " and "
                            + unit.text(most));
        }
        return value;
    }
}
