package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestState;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Formats plans as scenarios and parses scenarios strictly. An instance parses one scenario. */
final class PlanText {
    private final Map<ScenarioParameter, Long> sizes = new EnumMap<>(ScenarioParameter.class);
    private final List<Fault> faults = new ArrayList<>();

    /** The line number of each fault, for error messages. */
    private final List<Integer> faultLines = new ArrayList<>();

    private Long seed;

    static String text(Plan plan) {
        StringBuilder text = new StringBuilder(1024);
        text.append(
                "# One fault a line: at SECONDS KIND ..., or on STATE NTH [after SECONDS] KIND"
                        + " ...\n");
        text.append("seed ").append(plan.seed()).append('\n');
        for (ScenarioParameter each : ScenarioParameter.values()) {
            if (plan.size(each) != each.defaultValue()) {
                text.append("set ")
                        .append(each.word())
                        .append(' ')
                        .append(each.unit().text(plan.size(each)))
                        .append('\n');
            }
        }
        plan.faults().forEach(fault -> text.append(fault.text()).append('\n'));
        return text.toString();
    }

    Plan parse(String text) {
        int lineNumber = 0;
        for (String raw : text.split("\n", -1)) {
            lineNumber++;
            int comment = raw.indexOf('#');
            String line = (comment < 0 ? raw : raw.substring(0, comment)).strip();
            if (!line.isEmpty()) {
                try {
                    parseLine(line.split("\\s+"));
                } catch (IllegalArgumentException e) {
                    throw new IllegalArgumentException(
                            "line " + lineNumber + ": " + e.getMessage(), e);
                }
                while (faultLines.size() < faults.size()) {
                    faultLines.add(lineNumber);
                }
            }
        }
        if (seed == null) {
            throw new IllegalArgumentException("no line with the seed");
        }
        Plan plan = new Plan(seed, sizes, faults);
        for (int i = 0; i < faults.size(); i++) {
            try {
                checkFault(plan, faults.get(i));
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(
                        "line " + faultLines.get(i) + ": " + e.getMessage(), e);
            }
        }
        return plan;
    }

    private static String words(List<FaultParameter> params) {
        return String.join(", ", params.stream().map(FaultParameter::word).toList());
    }

    private void parseLine(String[] words) {
        switch (words[0]) {
            case "seed" -> {
                require(words.length == 2, "seed NUMBER");
                require(seed == null, "the seed is given twice");
                seed = parseNumber(words[1]);
            }
            case "set" -> {
                require(words.length == 3, "set SIZE VALUE");
                ScenarioParameter parameter = ScenarioParameter.of(words[1]);
                require(
                        sizes.put(parameter, parameter.checkRange(parameter.unit().parse(words[2])))
                                == null,
                        words[1] + " is set twice");
            }
            case "at" -> {
                require(words.length >= 3, "at SECONDS KIND ...");
                faults.add(parseFault(FaultTrigger.time(parseTime(words[1])), words, 2));
            }
            case "on" -> {
                require(words.length >= 4, "on STATE NTH [after SECONDS] KIND ...");
                RequestState state = FaultKind.of(RequestState.class, "state", words[1]);
                long nth = parseNumber(words[2]);
                require(
                        nth >= 1 && nth <= 1_000_000,
                        "NTH is not between 1 and 1000000: " + words[2]);
                boolean after = words[3].equals("after");
                require(!after || words.length >= 6, "after SECONDS KIND ...");
                faults.add(
                        parseFault(
                                new FaultTrigger(after ? parseTime(words[4]) : 0, state, (int) nth),
                                words,
                                after ? 5 : 3));
            }
            default ->
                    throw new IllegalArgumentException(
                            "a line begins with seed, set, at or on, not " + words[0]);
        }
    }

    private static Fault parseFault(FaultTrigger trigger, String[] words, int from) {
        FaultKind kind = FaultKind.of(FaultKind.class, "fault", words[from]);
        String who = null;
        String style = null;
        TreeMap<FaultParameter, Long> values = new TreeMap<>();
        for (int i = from + 1; i < words.length; i++) {
            int equals = words[i].indexOf('=');
            require(equals > 0, "not NAME=VALUE: " + words[i]);
            String name = words[i].substring(0, equals);
            String value = words[i].substring(equals + 1);
            if (name.equals("who")) {
                require(who == null && !value.isEmpty(), "who is given twice or empty");
                who = value;
            } else if (name.equals("style")) {
                require(style == null, "style is given twice");
                require(!kind.styles().isEmpty(), kind.word() + " takes no style");
                require(
                        kind.styles().contains(value),
                        Suggestions.unknownName("style of " + kind.word(), value, kind.styles()));
                style = value;
            } else {
                FaultParameter param = FaultKind.of(FaultParameter.class, "figure", name);
                require(
                        kind.params().contains(param),
                        kind.word()
                                + " takes no "
                                + name
                                + (kind.params().isEmpty()
                                        ? ""
                                        : "; it takes " + words(kind.params())));
                require(values.put(param, param.parse(value)) == null, name + " is given twice");
            }
        }
        require(
                style != null || kind.styles().isEmpty(),
                kind.word() + " needs a style: " + String.join(", ", kind.styles()));
        for (FaultParameter each : kind.params()) {
            require(values.containsKey(each), kind.word() + " needs " + each.word());
        }
        require(
                trigger.waitsForRequest() || !kind.requiresRequest(),
                kind.word() + " needs a request: on STATE NTH ...");
        require(
                !trigger.waitsForRequest() || kind.canAffect(trigger.state()),
                kind.word() + " can't be injected in state " + words[1]);
        boolean named =
                switch (kind.target()) {
                    case SERVER, SIDECAR, ZONE -> true;
                    default -> false;
                };
        require(named || who == null, kind.word() + " takes no who");
        require(
                !named || who != null || trigger.waitsForRequest(),
                kind.word() + " needs who=NAME");
        return new Fault(trigger, kind, who, style, values);
    }

    /** Checks the time and the target of a fault, which depend on the plan's parameters. */
    private static void checkFault(Plan plan, Fault fault) {
        require(
                fault.trigger().at() < plan.faultsEnd(),
                "the fault is too late: faults end at "
                        + Unit.TIME.text(plan.faultsEnd())
                        + " s (faults-end)");
        if (fault.who() != null) {
            List<String> known =
                    switch (fault.kind().target()) {
                        case SERVER -> names('s', plan.count(ScenarioParameter.SERVERS));
                        case SIDECAR -> names('n', plan.count(ScenarioParameter.SIDECARS));
                        default -> Site.ZONES;
                    };
            require(
                    known.contains(fault.who()),
                    Suggestions.unknownName("who", fault.who(), known));
        }
    }

    private static List<String> names(char letter, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(letter + Integer.toString(i));
        }
        return names;
    }

    private static long parseTime(String text) {
        long time = Unit.TIME.parse(text);
        require(time >= 0, "negative time: " + text);
        return time;
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a whole number: " + text, e);
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
