package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Table of the fault kinds that cannot strike a request in certain states, with a reason for each
 * row.
 */
public final class ImpossibleCombinations {
    private record Row(String kinds, Set<RequestState> states, String why) {
        boolean covers(String kind, RequestState state) {
            return coversKind(kind) && states.contains(state);
        }

        boolean coversKind(String kind) {
            return kinds.endsWith("*")
                    ? kind.startsWith(kinds.substring(0, kinds.length() - 1))
                    : kind.equals(kinds);
        }
    }

    private static final Set<RequestState> NO_ATTEMPT =
            Set.of(
                    RequestState.ARRIVING,
                    RequestState.HELD,
                    RequestState.ANSWERED,
                    RequestState.RESEND_HELD,
                    RequestState.IDLE);

    private static final Set<RequestState> FIRST_ATTEMPT =
            EnumSet.complementOf(
                    EnumSet.of(
                            RequestState.RESEND_HELD,
                            RequestState.RESEND_CONNECTING,
                            RequestState.RESEND_WRITING,
                            RequestState.RESEND_WRITTEN,
                            RequestState.RESEND_ANSWERING));

    private final List<Row> rows = new ArrayList<>();

    /** Returns a table in which nothing is impossible. */
    public static ImpossibleCombinations none() {
        return new ImpossibleCombinations();
    }

    /**
     * Returns the table of the simulated world. Faults of one connection to a server, or of one
     * response, are aimed at a request that has an attempt in flight; a fault that affects only
     * requests in need of a resource affects no others; all other faults can strike at any time.
     */
    public static ImpossibleCombinations usual() {
        ImpossibleCombinations usual = new ImpossibleCombinations();
        usual.addAllBut(
                "up-cut-request",
                List.of("WRITING", "WRITTEN"),
                "it cuts the request's bytes in transit");
        usual.addAllBut("up-cut-answer", List.of("ANSWERING"), "it cuts the answer's bytes");
        usual.addAllBut("down-cut-answer", List.of("ANSWERED"), "it cuts the answer's bytes");
        usual.add("up-*", NO_ATTEMPT, "no connection to a server carries the request");
        usual.add("spoil*", NO_ATTEMPT, "no server is to answer the request");
        usual.add("extra*", NO_ATTEMPT, "no server is to answer the request");
        Set<RequestState> answering = Set.of(RequestState.ANSWERING, RequestState.RESEND_ANSWERING);
        usual.add("spoil*", answering, "the answer has already begun unmodified");
        usual.add("extra*", answering, "the answer has already begun unmodified");
        usual.addAllBut("connect-*", List.of("CONNECTING"), "it affects only connecting requests");
        usual.addAllBut("backlog", List.of("CONNECTING"), "it affects only connecting requests");
        usual.addAllBut(
                "close-idle",
                List.of("WRITING", "WRITTEN", "ANSWERING"),
                "the request's connection is not idle as the server sees it");
        usual.addAllBut(
                "no-descriptors",
                List.of("ARRIVING", "HELD"),
                "the request needs no further descriptor");
        usual.add("drain-told", NO_ATTEMPT, "no server that could drain has the request");
        usual.add("window-closes", FIRST_ATTEMPT, "nothing is resent");
        usual.add("pause-over-all", FIRST_ATTEMPT, "nothing is resent");
        return usual;
    }

    /**
     * Adds a row.
     *
     * @param kinds a kind, or a prefix followed by *
     */
    public void add(String kinds, Set<RequestState> states, String why) {
        rows.add(new Row(kinds, EnumSet.copyOf(states), why));
    }

    /**
     * Adds a row for all states but these; each name stands for the states of first and later
     * attempts.
     */
    private void addAllBut(String kinds, List<String> possible, String why) {
        Set<RequestState> states = EnumSet.allOf(RequestState.class);
        states.removeIf(each -> possible.contains(each.name().replace("RESEND_", "")));
        add(kinds, states, why);
    }

    /** Returns why the combination is impossible; null if it is possible. */
    public String why(String kind, RequestState state) {
        for (Row each : rows) {
            if (each.covers(kind, state)) {
                return each.why;
            }
        }
        return null;
    }

    /** Returns the rows that apply to any of these kinds. */
    String markdown(Set<String> kinds) {
        StringBuilder out =
                new StringBuilder(256)
                        .append("| can't happen: fault | state | because |\n| --- | --- | --- |\n");
        for (Row each : rows) {
            if (kinds.stream().anyMatch(each::coversKind)) {
                out.append("| ").append(each.kinds).append(" | ");
                String separator = "";
                for (RequestState state : each.states) {
                    out.append(separator).append(Coverage.heading(state));
                    separator = ", ";
                }
                out.append(" | ").append(each.why).append(" |\n");
            }
        }
        return out.toString();
    }
}
