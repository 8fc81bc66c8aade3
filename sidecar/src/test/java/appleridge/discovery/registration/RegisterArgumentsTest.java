package appleridge.discovery.registration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing of the command line of {@code register}. */
class RegisterArgumentsTest {
    private static RegisterArguments parse(String line) {
        return RegisterArguments.parse(List.of(line.split(" ")));
    }

    @Test
    void allArgumentsAreRead() {
        assertEquals(
                new RegisterArguments(
                        Path.of("o.toml"),
                        "s1",
                        "x",
                        new InetSocketAddress("192.0.2.1", 80),
                        "a",
                        "m1",
                        2,
                        1.5,
                        "/ready",
                        500,
                        List.of("run", "--id", "mine")),
                parse(
                        "--operator o.toml --id s1 --shard x --address 192.0.2.1:80 --zone a --kind"
                            + " m1 --cell 2 --weight 1.5 --check /ready --drain-for 500 -- run --id"
                            + " mine"));
    }

    @Test
    void omittedArgumentsHaveDefaults() {
        RegisterArguments read = parse("--operator o --id s1 --address [2001:db8::1]:80 -- run");
        assertEquals(2000, read.drainMillis());
        assertEquals(
                "{\"address\":\"[2001:db8:0:0:0:0:0:1]:80\",\"cell\":0,\"weight\":1.0,"
                        + "\"state\":\"Ready\",\"started\":7}",
                new String(NodeJsonWriter.write(read, false, 7), StandardCharsets.UTF_8));
        assertEquals(7, NodeJsonWriter.startedMillis(NodeJsonWriter.write(read, true, 7)));
        assertEquals(0, NodeJsonWriter.startedMillis(null));
        assertEquals(0, NodeJsonWriter.startedMillis("{".getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void invalidArgumentIsNamed() {
        for (String[] each :
                new String[][] {
                    {"--id s1", "no command after --"},
                    {"--id s1 --", "no command after --"},
                    {"--idd s1 -- run", "unknown argument: --idd"},
                    {"--id -- run", "--id needs a value"},
                    {"--id a --id b -- run", "--id is given twice"},
                    {"--id a -- run", "--operator is missing"},
                    {"--operator o --id a/b -- run", "--id may contain"},
                    {"--operator o --id .. -- run", "--id may contain"},
                    {
                        "--operator o --id a --address host:80 -- run",
                        "--address is not like 192.0.2.1:8080: host:80"
                    },
                    {
                        "--operator o --id a --address 192.0.2.1:80 --cell 1.5 -- run",
                        "--cell is not a number in its range: 1.5"
                    },
                    {
                        "--operator o --id a --address 192.0.2.1:80 --weight no -- run",
                        "--weight is not a number in its range: no"
                    },
                    {
                        "--operator o --id a --address 192.0.2.1:80 --check ready -- run",
                        "--check is not a path like /health/ready: ready"
                    }
                }) {
            String message =
                    assertThrows(IllegalArgumentException.class, () -> parse(each[0])).getMessage();
            assertTrue(message.startsWith(each[1]), message);
        }
    }
}
