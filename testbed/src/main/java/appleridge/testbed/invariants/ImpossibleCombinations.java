package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Which kinds of fault can't strike a request in which states, and why: a table with a reason in
 * each row.
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

    private static final Set<RequestState> FIRST =
            EnumSet.complementOf(
                    EnumSet.of(
                            RequestState.RESEND_HELD,
                            RequestState.RESEND_CONNECTING,
                            RequestState.RESEND_WRITING,
                            RequestState.RESEND_WRITTEN,
                            RequestState.RESEND_ANSWERING));

    private final List<Row> rows = new ArrayList<>();

    /** Nothing is impossible. */
    public static ImpossibleCombinations none() {
        return new ImpossibleCombinations();
    }

    /**
     * The world's: faults of one connection to a server, or of one answer, are aimed at a request
     * that has an attempt out; what meets only those who need something meets no others; the rest
     * can strike at any time.
     */
    public static ImpossibleCombinations usual() {
        ImpossibleCombinations usual = new ImpossibleCombinations();
        usual.addAllBut(
                "up-cut-request",
                List.of("WRITING", "WRITTEN"),
                "it breaks in the request's bytes on their way");
        usual.addAllBut("up-cut-answer", List.of("ANSWERING"), "it breaks in the answer's bytes");
        usual.addAllBut("down-cut-answer", List.of("ANSWERED"), "it breaks in the answer's bytes");
        usual.add("up-*", NO_ATTEMPT, "no connection to a server carries the request");
        usual.add("spoil*", NO_ATTEMPT, "no server is to answer the request");
        usual.add("extra*", NO_ATTEMPT, "no server is to answer the request");
        Set<RequestState> answering = Set.of(RequestState.ANSWERING, RequestState.RESEND_ANSWERING);
        usual.add("spoil*", answering, "the answer has begun as it is");
        usual.add("extra*", answering, "the answer has begun as it is");
        usual.addAllBut("connect-*", List.of("CONNECTING"), "it meets those who connect");
        usual.addAllBut("backlog", List.of("CONNECTING"), "it meets those who connect");
        usual.addAllBut(
                "close-idle",
                List.of("WRITING", "WRITTEN", "ANSWERING"),
                "the request is on no connection that stands idle for the server");
        usual.addAllBut(
                "no-descriptors",
                List.of("ARRIVING", "HELD"),
                "the request needs no further descriptor");
        usual.add("drain-told", NO_ATTEMPT, "the request is with no server that could drain");
        usual.add("window-closes", FIRST, "nothing is resent");
        usual.add("pause-over-all", FIRST, "nothing is resent");
        return usual;
    }

    /**
     * One more row.
     *
     * @param kinds a kind, or with * at its end all that begin so
     */
    public void add(String kinds, Set<RequestState> states, String why) {
        rows.add(new Row(kinds, EnumSet.copyOf(states), why));
    }

    /** One for all states but these, of a first attempt and of later ones. */
    private void addAllBut(String kinds, List<String> possible, String why) {
        Set<RequestState> states = EnumSet.allOf(RequestState.class);
        states.removeIf(each -> possible.contains(each.name().replace("RESEND_", "")));
        add(kinds, states, why);
    }

    /** Why that can't happen; null if it can. */
    public String why(String kind, RequestState state) {
        for (Row each : rows) {
            if (each.covers(kind, state)) {
                return each.why;
            }
        }
        return null;
    }

    /** The rows that concern any of these kinds. */
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
