package appleridge.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The source files that make decisions must be those listed under {@code policy} in the deploy
 * file.
 */
class PolicyFilesTest {
    private static final Path ROOT = Path.of("..");
    private static final Path PACKAGE = Path.of("sidecar/src/main/java/appleridge/loadbalancing");

    /** The types of the package's interface, which make no decisions. */
    private static final Set<String> INTERFACE =
            Set.of(
                    "Capabilities.java",
                    "DeduplicationScope.java",
                    "DiscoveryMode.java",
                    "HostState.java",
                    "Idempotency.java",
                    "LoadBalancingPolicy.java",
                    "Outcome.java",
                    "PolicyActions.java",
                    "PolicySettings.java",
                    "Preconditions.java",
                    "RequestClass.java",
                    "RequestInfo.java",
                    "SafetyLimits.java",
                    "Tenant.java",
                    "UpdateKind.java",
                    "UpstreamHost.java",
                    "WeightKind.java",
                    "package-info.java");

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve(PACKAGE))) {
            return files.filter(Files::isRegularFile).toList();
        }
    }

    @Test
    void exactlyTheFilesThatDecideAreListedUnderPolicy() throws IOException {
        String deploy = Files.readString(ROOT.resolve("deploy/balancer.toml"));
        Matcher line = Pattern.compile("(?m)^policy = \\[(.*)]$").matcher(deploy);
        assertTrue(line.find());
        List<String> listed =
                Stream.of(line.group(1).split(", "))
                        .map(quoted -> quoted.substring(1, quoted.length() - 1))
                        .toList();
        Set<String> deciding =
                sources().stream()
                        .map(file -> ROOT.relativize(file).toString())
                        .filter(file -> !INTERFACE.contains(Path.of(file).getFileName().toString()))
                        .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(deciding, new TreeSet<>(listed));
        assertEquals(deciding.size(), listed.size(), "a file is listed twice");
        for (String file : listed) {
            assertTrue(Files.isRegularFile(ROOT.resolve(file)), file);
        }
    }

    @Test
    void filesAreNoLongerThan400LinesOf100Columns() throws IOException {
        for (Path file : sources()) {
            List<String> lines = Files.readAllLines(file);
            assertTrue(lines.size() <= 400, file + " has " + lines.size() + " lines");
            assertTrue(lines.stream().allMatch(text -> text.length() <= 100), file.toString());
        }
    }
}
