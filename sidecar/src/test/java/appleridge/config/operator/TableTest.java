package appleridge.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Reading of values, of nested tables and of arrays of tables, and reports of unknown keys. */
class TableTest {
    private final Findings findings = new Findings();

    private enum Scope implements SettingWord {
        ZONE("zone"),
        ALL("all"),
        SAME_CELL("same-cell");

        private final String settingWord;

        Scope(String settingWord) {
            this.settingWord = settingWord;
        }

        @Override
        public String settingWord() {
            return settingWord;
        }
    }

    private Table table(String toml) {
        TomlText text = TomlText.of(toml.getBytes(StandardCharsets.UTF_8), findings);
        return Table.top(text.tree(findings), text, findings);
    }

    /** Reads a value with a kind; null if it is rejected. */
    private <T> T read(ValueKind<T> kind, String value) {
        return table("key = " + value).optional("key", kind, "").orElse(null);
    }

    private <T> void assertRejected(ValueKind<T> kind, String value, String problem) {
        int before = findings.count();
        assertNull(read(kind, value), value);
        assertEquals(before + 1, findings.count(), value);
        assertEquals(
                "key: " + problem,
                findings.lines().get(before).replaceFirst("line 1, column 1: ", ""));
    }

    @Test
    void durations() {
        ValueKind<Duration> kind = ValueKind.duration(Duration.ofMillis(5), Duration.ofHours(2));
        assertEquals(Duration.ofMillis(250), read(kind, "\"250ms\""));
        assertEquals(Duration.ofSeconds(90), read(kind, "'90s'"));
        assertEquals(Duration.ofMinutes(3), read(kind, "\"3m\""));
        assertEquals("90s", kind.format(Duration.ofSeconds(90)));
        assertEquals("2h", kind.format(Duration.ofMinutes(120)));
        assertEquals("0ms", kind.format(Duration.ZERO));
        for (String wrong :
                List.of(
                        "5",
                        "\"5\"",
                        "\"ms\"",
                        "\"-5s\"",
                        "\"5 s\"",
                        "\"1.5s\"",
                        "\"5S\"",
                        "\"9999999999ms\"",
                        "\"\u0665s\"",
                        "\"\"")) {
            assertRejected(
                    kind,
                    wrong,
                    wrong + " is not a duration; write one like \"250ms\", \"2s\" or \"1m\"");
        }
        assertRejected(kind, "\"999999999h\"", "\"999999999h\" is out of range: from 5ms to 2h");
        assertRejected(kind, "\"4ms\"", "\"4ms\" is out of range: from 5ms to 2h");
    }

    @Test
    void sizes() {
        ValueKind<Long> kind = ValueKind.size(16, 4L << 30);
        assertEquals(16L << 20, read(kind, "\"16MiB\""));
        assertEquals(4L << 30, read(kind, "\"4GiB\""));
        assertEquals("1536KiB", kind.format(1536L << 10));
        assertRejected(
                kind,
                "\"16MB\"",
                "\"16MB\" is not a size; write one like \"512B\", \"64KiB\" or \"16MiB\"");
        assertRejected(kind, "\"15B\"", "\"15B\" is out of range: from 16B to 4GiB");
        assertRejected(
                kind, "\"999999999GiB\"", "\"999999999GiB\" is out of range: from 16B to 4GiB");
    }

    @Test
    void numbers() {
        assertEquals(0x10, read(ValueKind.integer(1, 20), "0x10"));
        assertRejected(ValueKind.integer(1, 20), "2.0", "2.0 is not a whole number");
        assertRejected(ValueKind.integer(1, 20), "21", "21 is out of range: from 1 to 20");
        assertRejected(
                ValueKind.integer(1, 20),
                "99999999999999999999",
                "99999999999999999999 is out of range: from 1 to 20");
        assertEquals(1, read(ValueKind.fraction(0, 1), "1"));
        assertRejected(ValueKind.fraction(0, 1), "nan", "NaN is out of range: from 0 to 1");
        assertRejected(ValueKind.fraction(0, 1), "inf", "Infinity is out of range: from 0 to 1");
        assertRejected(
                ValueKind.fraction(0, 1),
                "1e999999999",
                "1E+999999999 is out of range: from 0 to 1");
        assertRejected(ValueKind.fraction(0, 1), "true", "true is not a number");
        assertTrue(read(ValueKind.bool(), "true"));
        assertRejected(ValueKind.bool(), "1", "1 is neither true nor false");
    }

    @Test
    void onlyLiteralAddressesAreRead() {
        ValueKind<InetSocketAddress> kind = ValueKind.address();
        assertEquals("192.0.2.1:80", kind.format(read(kind, "\"192.0.2.1:80\"")));
        assertEquals(
                "[2001:db8:0:0:0:0:0:1]:65535", kind.format(read(kind, "\"[2001:db8::1]:65535\"")));
        for (String wrong :
                List.of(
                        "80",
                        "\"localhost:80\"",
                        "\"192.0.2.1\"",
                        "\":80\"",
                        "\"192.0.2:80\"",
                        "\"192.0.2.256:80\"",
                        "\"192.0.2.01:80\"",
                        "\"192.0.2.1:0\"",
                        "\"192.0.2.1:65536\"",
                        "\"192.0.2.1:+80\"",
                        "\"::1:80\"",
                        "\"[::1\"",
                        "\"[::1%lo]:80\"",
                        "\"[192.0.2.1]:80\"",
                        "\"[abc]:80\"",
                        "\"[]:80\"",
                        "\"[:80\"",
                        "\"3221225985:80\"")) {
            assertRejected(
                    kind,
                    wrong,
                    wrong
                            + " is not an address; write a literal one with its port, like"
                            + " \"192.0.2.1:8080\" or \"[2001:db8::1]:8080\" (names are not looked"
                            + " up)");
        }
    }

    @Test
    void stringsAndChoices() {
        assertEquals(Scope.SAME_CELL, read(ValueKind.choice(Scope.class), "\"same-cell\""));
        assertRejected(
                ValueKind.choice(Scope.class),
                "\"zones\"",
                "\"zones\" is not one of \"zone\", \"all\", \"same-cell\"; did you mean \"zone\"?");
        assertRejected(
                ValueKind.choice(Scope.class),
                "\"ALL\"",
                "\"ALL\" is not one of \"zone\", \"all\", \"same-cell\"; did you mean \"all\"?");
        assertEquals("abc", read(ValueKind.string(3), "\"abc\""));
        assertRejected(
                ValueKind.string(3), "\"abcd\"", "\"abcd\" has 4 characters; allowed: 1 to 3");
        assertRejected(ValueKind.string(3), "\"\"", "\"\" has 0 characters; allowed: 1 to 3");
        assertRejected(
                ValueKind.string(3), "\"a\\nb\"", "\"a\\u000ab\" contains a control character");
        assertRejected(
                ValueKind.string(3), "\"\\ud800\"", "\"\\ud800\" contains an unpaired surrogate");
        assertRejected(ValueKind.string(3), "1", "1 is not a string; put it in quotes");
        assertRejected(
                ValueKind.string(3),
                "\"" + "x".repeat(99) + "\"",
                "\"" + "x".repeat(57) + "...\" has 99 characters; allowed: 1 to 3");
    }

    @Test
    void everyInvalidListItemIsReported() {
        ValueKind<List<Integer>> kind = ValueKind.list(ValueKind.integer(0, 9), 1, 4);
        assertEquals(List.of(1, 2), read(kind, "[1, 2]"));
        assertEquals("[1, 2]", kind.format(List.of(1, 2)));
        assertRejected(kind, "[]", "a list has 0 items; allowed: 1 to 4");
        assertRejected(kind, "1", "1 is not a list");
        assertRejected(kind, "{}", "a table is not a list");
        Table table = table("key = [1,\n 'a',\n 3, 10]");
        assertEquals(Optional.empty(), table.optional("key", kind, ""));
        assertFalse(table.valid());
        assertEquals(
                List.of(
                        "line 2, column 2: key[2]: \"a\" is not a whole number",
                        "line 3, column 5: key[4]: 10 is out of range: from 0 to 9"),
                findings.lines().subList(3, 5));
    }

    @Test
    void tablesInArraysAreCountedFromOne() {
        Table top = table("[[route]]\nhost = 'a'\n[[route]]\nhots = 'b'\n");
        List<Table> routes = top.tables("route");
        assertEquals(2, routes.size());
        assertEquals("a", routes.get(0).required("host", ValueKind.string(9), "x", ""));
        assertEquals("x", routes.get(1).required("host", ValueKind.string(9), "x", ""));
        assertEquals(List.of(), top.tables("none"));
        top.rejectUnknownKeys();
        assertEquals(
                List.of(
                        "line 3, column 1: route[2].host: missing",
                        "line 4, column 1: route[2].hots: unknown key; did you mean \"host\"?"),
                findings.lines());
    }

    @Test
    void valueOtherThanArrayOfTablesIsRejected() {
        table("route = 1").tables("route");
        table("route = [{}, 1]").tables("route");
        assertEquals(
                List.of(
                        "line 1, column 1: route: 1 is not a list of tables; write [[route]] before"
                                + " each",
                        "line 1, column 1: route: a list is not a list of tables; write [[route]]"
                                + " before each"),
                findings.lines());
    }

    @Test
    void settingsReportValueDefaultAndSource() {
        Table top = table("a = 'x'\n[part]\nb = true");
        top.value("a", ValueKind.string(9), "y", "first");
        top.optional("c", ValueKind.string(9), "third");
        top.table("part").value("b", ValueKind.bool(), true, "second");
        top.rejectUnknownKeys();
        assertEquals(
                List.of(
                        new Setting("a", "first", "x", "y", true),
                        new Setting("c", "third", "", "", false),
                        new Setting("part.b", "second", "true", "true", true)),
                findings.settings());
        assertEquals(
                List.of(true, false, false),
                findings.settings().stream().map(Setting::isChanged).toList());
        assertEquals(List.of(), findings.lines());
    }
}
