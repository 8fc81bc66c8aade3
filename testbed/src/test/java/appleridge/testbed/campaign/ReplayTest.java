package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The same seed gives exactly the same day, whatever runs before it, beside it and beneath it. */
class ReplayTest {
    private static final int FROM = 1;
    private static final int TO = 60;
    private static List<String> digests;

    @TempDir private Path directory;

    private static String line(int seed) {
        return seed + " " + Long.toHexString(Digests.of(seed));
    }

    private static List<Integer> seeds() {
        List<Integer> seeds = new ArrayList<>();
        for (int seed = FROM; seed <= TO; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    @BeforeAll
    static void playInOrder() {
        digests = seeds().stream().map(ReplayTest::line).toList();
        assertEquals(
                digests.size(),
                digests.stream().map(each -> each.split(" ")[1]).distinct().count());
    }

    private static List<String> inOrder(List<String> lines) {
        return lines.stream()
                .sorted(
                        (a, b) ->
                                Integer.compare(
                                        Integer.parseInt(a.split(" ")[0]),
                                        Integer.parseInt(b.split(" ")[0])))
                .toList();
    }

    @Test
    void aloneAndAfterManyOthers() {
        for (int seed : List.of(TO, FROM, 17, 17, 42)) {
            assertEquals(digests.get(seed - FROM), line(seed));
        }
    }

    @Test
    void shuffledOnEightThreads() throws Exception {
        List<Integer> shuffled = seeds();
        Collections.shuffle(shuffled, new Random(4));
        ExecutorService threads = Executors.newFixedThreadPool(8);
        try {
            List<Callable<String>> days = new ArrayList<>();
            shuffled.forEach(seed -> days.add(() -> line(seed)));
            List<String> lines = new ArrayList<>();
            for (Future<String> each : threads.invokeAll(days)) {
                lines.add(each.get());
            }
            assertEquals(digests, inOrder(lines));
        } finally {
            threads.shutdownNow();
        }
    }

    /**
     * Other identity hashes, other salt for the order of immutable sets, another collector and
     * compiler.
     */
    @Test
    void inFreshJvmsOfOtherKinds() throws Exception {
        List<Process> running = new ArrayList<>();
        List<Path> said = new ArrayList<>();
        for (List<String> kind :
                List.of(
                        List.of("-XX:hashCode=2", "-XX:+UseSerialGC"),
                        List.of(
                                "-XX:hashCode=0",
                                "-XX:+UseParallelGC",
                                "-XX:TieredStopAtLevel=1"))) {
            said.add(directory.resolve("jvm" + said.size()));
            running.add(start(kind, said.get(said.size() - 1)));
        }
        for (int i = 0; i < running.size(); i++) {
            boolean ended = running.get(i).waitFor(2, TimeUnit.MINUTES);
            running.get(i).destroyForcibly();
            List<String> lines = Files.readAllLines(said.get(i), StandardCharsets.UTF_8);
            assertEquals(digests, lines);
            assertEquals(true, ended);
        }
    }

    private static Process start(List<String> kind, Path said) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UnlockExperimentalVMOptions"));
        command.addAll(kind);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        Digests.class.getName(),
                        Integer.toString(FROM),
                        Integer.toString(TO)));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(said.toFile())
                .start();
    }

    @Test
    void aCampaignsDigestIsTheSameOnAnyNumberOfThreads() {
        Campaign.Result one = new Campaign(FROM, TO, 1).run();
        Campaign.Result eight = new Campaign(FROM, TO, 8).run();
        assertEquals(one.digest(), eight.digest());
        assertEquals(one.counts(), eight.counts());
        assertEquals(one.simulatedNanos(), eight.simulatedNanos());
        assertEquals(one.coverage().total(), eight.coverage().total());
    }
}
