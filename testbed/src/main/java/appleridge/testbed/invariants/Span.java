package appleridge.testbed.invariants;

/** From one moment to another. */
public record Span(long from, long until) {
    boolean overlaps(long since, long to) {
        return from < to && until > since;
    }
}
