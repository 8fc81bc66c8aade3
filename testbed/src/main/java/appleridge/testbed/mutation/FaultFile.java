package appleridge.testbed.mutation;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads the planted faults from text: a line for each property of a fault, its name and a value
 * that goes on to the line's end; {@code fault} begins one, and {@code file} each of its edits.
 * Empty lines and such with a {@code #} ahead say nothing. Whatever else is there is an error with
 * the line's number.
 */
public final class FaultFile {
    private static final String RESOURCE = "/planted/faults.txt";
    private static final String FAULT = "fault";
    private static final String FILE = "file";
    private static final String SEEN = "seen";
    private static final String WITH = "with";
    private static final String UNSEEN = "unseen";
    private static final List<String> NEEDED = List.of("what", "rules");
    private static final List<String> NEEDED_OF_EDIT = List.of(FILE, "line", WITH);
    private static final Set<String> KNOWN = Set.of("what", "rules", UNSEEN, SEEN);
    private static final Set<String> KNOWN_OF_EDIT = Set.of(FILE, "in", "line", WITH);
    private static final int SEEN_WORDS = 3;

    private FaultFile() {}

    /** All faults that the testbed brings along. */
    public static List<PlantedFault> packed() throws IOException {
        try (InputStream in = FaultFile.class.getResourceAsStream(RESOURCE)) {
            return parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** Reads faults strictly; what is wrong is told by an {@link IllegalArgumentException}. */
    public static List<PlantedFault> parse(String text) {
        List<Draft> drafts = new ArrayList<>();
        Set<String> names = new TreeSet<>();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            String key = key(line);
            String value = value(line, key);
            if (key.isEmpty()) {
                continue;
            }
            if (key.equals(FAULT)) {
                if (value.isEmpty() || !names.add(value)) {
                    throw wrong(number, "a second fault of this name: " + value);
                }
                drafts.add(new Draft(value, number));
            } else if (drafts.isEmpty()) {
                throw wrong(number, "no property of a fault: " + key);
            } else {
                drafts.get(drafts.size() - 1).put(number, key, value);
            }
        }
        return drafts.stream().map(Draft::fault).toList();
    }

    /** The same text with where this fault was seen, and no longer where it had been. */
    public static String record(String text, Finding finding) {
        StringBuilder recorded = new StringBuilder();
        boolean own = false;
        for (String line : text.lines().toList()) {
            String key = key(line);
            if (key.equals(FAULT)) {
                own = value(line, key).equals(finding.fault().name());
            }
            if (own && key.equals(SEEN)) {
                continue;
            }
            recorded.append(line).append('\n');
            if (own && key.equals("rules")) {
                recorded.append("  seen   ")
                        .append(finding.rule())
                        .append(
                                finding.tried() == 0
                                        ? ""
                                        : " " + finding.seed() + ' ' + finding.tried())
                        .append('\n');
            }
        }
        return recorded.toString();
    }

    private static String key(String line) {
        String stripped = line.strip();
        if (stripped.startsWith("#")) {
            return "";
        }
        int end = stripped.indexOf(' ');
        return end < 0 ? stripped : stripped.substring(0, end);
    }

    private static String value(String line, String key) {
        return line.strip().substring(key.length()).strip();
    }

    private static IllegalArgumentException wrong(int line, String why) {
        return new IllegalArgumentException("line " + line + ": " + why);
    }

    /** One fault as far as it has been read. */
    private static final class Draft {
        private final String name;
        private final int begun;
        private final Map<String, String> properties = new HashMap<>();
        private final List<Map<String, String>> edits = new ArrayList<>();

        Draft(String name, int begun) {
            this.name = name;
            this.begun = begun;
        }

        void put(int number, String key, String value) {
            if (key.equals(FILE)) {
                edits.add(new HashMap<>());
            }
            boolean ofEdit = KNOWN_OF_EDIT.contains(key);
            if (!KNOWN.contains(key) && !ofEdit || ofEdit && edits.isEmpty()) {
                throw wrong(number, "no property of a fault: " + key);
            }
            if ((ofEdit ? edits.get(edits.size() - 1) : properties).put(key, value) != null) {
                throw wrong(number, "a second time: " + key);
            }
        }

        PlantedFault fault() {
            need(properties, NEEDED);
            if (edits.isEmpty()) {
                need(Map.of(), NEEDED_OF_EDIT);
            }
            edits.forEach(edit -> need(edit, NEEDED_OF_EDIT));
            return new PlantedFault(
                    name,
                    properties.get("what"),
                    edits.stream()
                            .map(
                                    edit ->
                                            new Edit(
                                                    edit.get(FILE),
                                                    edit.get("in"),
                                                    edit.get("line"),
                                                    edit.get(WITH)))
                            .toList(),
                    List.copyOf(Arrays.asList(properties.get("rules").split(" +"))),
                    properties.get(UNSEEN),
                    seen(properties.get(SEEN)));
        }

        private void need(Map<String, String> given, List<String> needed) {
            for (String key : needed) {
                String value = given.get(key);
                if (value == null || value.isEmpty() && !key.equals(WITH)) {
                    throw wrong(begun, "fault without " + key);
                }
            }
        }

        /**
         * The rule, the seed and how many were played; the rule alone where the day was written by
         * hand.
         */
        private PlantedFault.Seen seen(String text) {
            if (text == null) {
                return null;
            }
            String[] parts = text.split(" +");
            try {
                if (parts.length == SEEN_WORDS) {
                    return new PlantedFault.Seen(
                            parts[0], Long.parseLong(parts[1]), Integer.parseInt(parts[2]));
                }
                if (parts.length == 1 && !parts[0].isEmpty()) {
                    return new PlantedFault.Seen(parts[0], 0, 0);
                }
            } catch (NumberFormatException e) {
                // Told below, together with what has other parts.
            }
            throw wrong(
                    begun, "not a rule, or a rule, a seed and the number of seeds played: " + text);
        }
    }
}
