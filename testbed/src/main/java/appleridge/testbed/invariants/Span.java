package appleridge.testbed.invariants;

/** A span of time, from its start to its exclusive end. */
public record Span(long from, long until) {
    boolean overlaps(long since, long to) {
        return from < to && until > since;
    }
}
