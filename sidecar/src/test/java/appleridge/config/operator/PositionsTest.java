package appleridge.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Positions of the keys of the parser's tree, found by a second scan of the text. */
class PositionsTest {
    private static Position positionOf(String text, String path) {
        return Positions.of(text).positionOf(path);
    }

    @Test
    void keysAreFoundAfterStringsCommentsListsAndTables() {
        String text =
                "# a = 1\r\n\r\n"
                        + "\tb.c = '''\n"
                        + "d = 1\n"
                        + "''''' # e = 1\n"
                        + "f = [ # ]\n"
                        + " '#', \"\\\"\", [1, {g = 2}] ]\n"
                        + "h = \"\"\"\n"
                        + "\\\"\"\" \"\"\"\n"
                        + "[ \"i.j\" . k ] # x\n"
                        + "l=1979-05-27 07:32:00\n"
                        + "[[m]]\n"
                        + "[m.n]\n"
                        + "o=1\n"
                        + "[[m]]\n"
                        + "[m.n]\n"
                        + " o=2\n";
        assertEquals(new Position(3, 2), positionOf(text, "b.c"));
        assertEquals(Position.UNKNOWN, positionOf(text, "d"));
        assertEquals(new Position(6, 1), positionOf(text, "f"));
        assertEquals(new Position(7, 14), positionOf(text, "f[3][1]"));
        assertEquals(new Position(7, 18), positionOf(text, "f[3][2].g"));
        assertEquals(new Position(8, 1), positionOf(text, "h"));
        assertEquals(new Position(11, 1), positionOf(text, "\"i.j\".k.l"));
        assertEquals(new Position(14, 1), positionOf(text, "m[1].n.o"));
        assertEquals(new Position(17, 2), positionOf(text, "m[2].n.o"));
    }

    @Test
    void deepNestingLongPathsAndEscapedKeysHaveNoPosition() {
        String nested = "a = " + "[".repeat(100_000);
        assertEquals(new Position(1, 1), positionOf(nested, "a"));
        String deep = "x." + "a".repeat(300) + ".y";
        assertEquals(Position.UNKNOWN, positionOf(deep + " = 1", deep));
        assertEquals(Position.UNKNOWN, positionOf("\"\\u0061\" = 1", "a"));
    }

    /** The text at a key's position contains the key, for every key of random valid texts. */
    @Test
    void everyKeyOfARandomTextHasAPosition() {
        for (int seed = 0; seed < 300; seed++) {
            String text = new RandomToml(new Random(seed)).text();
            Findings findings = new Findings();
            JsonNode tree =
                    TomlText.of(text.getBytes(StandardCharsets.UTF_8), findings).tree(findings);
            assertEquals(List.of(), findings.lines(), text);
            TreeMap<String, String> keys = new TreeMap<>();
            collect("", tree, keys);
            assertTrue(!keys.isEmpty(), text);
            String[] lines = text.split("\n");
            Positions positions = Positions.of(text);
            keys.forEach(
                    (path, key) -> {
                        Position at = positions.positionOf(path);
                        assertTrue(at.line() > 0, () -> path + " in\n" + text);
                        String found = lines[at.line() - 1].substring(at.column() - 1);
                        assertTrue(found.contains(key), () -> path + " at " + found);
                    });
            assertEquals(null, positions.duplicate(), text);
        }
    }

    private static void collect(String path, JsonNode node, TreeMap<String, String> keys) {
        node.properties()
                .forEach(
                        each -> {
                            String child = MessageText.child(path, each.getKey());
                            keys.put(child, each.getKey());
                            collect(child, each.getValue(), keys);
                        });
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            keys.put(MessageText.item(path, i), "");
            collect(MessageText.item(path, i), node.get(i), keys);
        }
    }

    /** Generates valid TOML in varied syntax. Every key is unique, so that none is duplicated. */
    private static final class RandomToml {
        private final Random random;
        private final StringBuilder out = new StringBuilder();
        private int keys;

        RandomToml(Random random) {
            this.random = random;
        }

        String text() {
            pairs();
            List<String> lists = new ArrayList<>();
            for (int i = random.nextInt(6); i >= 0; i--) {
                if (random.nextBoolean()) {
                    out.append(blank()).append("[").append(blank()).append(dotted()).append("]");
                } else {
                    if (lists.isEmpty() || random.nextBoolean()) {
                        lists.add(key());
                    }
                    String list = lists.get(random.nextInt(lists.size()));
                    out.append("[[").append(list).append(random.nextInt(4) == 0 ? "]]" : " ]]");
                    if (random.nextInt(3) == 0) {
                        pairs();
                        out.append("\n[").append(list).append('.').append(key()).append("]");
                    }
                }
                pairs();
            }
            return out.toString();
        }

        private void pairs() {
            out.append(end());
            for (int i = random.nextInt(4); i >= 0; i--) {
                out.append(blank())
                        .append(dotted())
                        .append(blank())
                        .append('=')
                        .append(blank())
                        .append(value(0));
                out.append(end());
            }
        }

        private String value(int depth) {
            return switch (random.nextInt(depth > 3 ? 6 : 8)) {
                case 0 -> "-1_0.5e3";
                case 1 -> "\"]}#,'\\\"\\\\\"";
                case 2 -> "'[{#=\\'";
                case 3 -> "\"\"\"\n'' \"\" \\\"\"\" # no\n x = 1 \\\\\"\"\"";
                case 4 -> "'''\n[a]\n b = \"\"\" ''''";
                case 5 -> "1979-05-27 07:32:00Z";
                case 6 -> {
                    StringBuilder list = new StringBuilder("[").append(gap());
                    for (int i = random.nextInt(4); i > 0; i--) {
                        list.append(value(depth + 1)).append(gap());
                        list.append(i > 1 || random.nextBoolean() ? "," : "").append(gap());
                    }
                    yield list.append("]").toString();
                }
                default -> {
                    List<String> pairs = new ArrayList<>();
                    for (int i = random.nextInt(3); i > 0; i--) {
                        pairs.add(blank() + dotted() + blank() + "=" + value(depth + 1) + blank());
                    }
                    yield "{" + String.join(",", pairs) + "}";
                }
            };
        }

        private String dotted() {
            return random.nextInt(3) > 0 ? key() : key() + blank() + "." + blank() + key();
        }

        private String key() {
            keys++;
            return switch (random.nextInt(3)) {
                case 0 -> "\"k=#.] " + keys + "\"";
                case 1 -> "'k\"[ " + keys + "'";
                default -> "k_-" + keys;
            };
        }

        private String blank() {
            return random.nextBoolean() ? "" : " \t";
        }

        private String gap() {
            return random.nextInt(3) > 0 ? blank() : " # ], \" '\n\t";
        }

        private String end() {
            return random.nextInt(3) > 0 ? "\n" : " # x = '''\r\n\n";
        }
    }
}
