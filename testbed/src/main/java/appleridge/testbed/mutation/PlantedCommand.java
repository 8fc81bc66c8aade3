package appleridge.testbed.mutation;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The command line of planted faults. */
public final class PlantedCommand {
    private static final String USAGE =
            """
            usage: planted table
                   planted check [--threads N] [NAME...]
                   planted search FROM-TO [--threads N] [--record FAULTS] [NAME...]
              table   prints what is recorded
              check   plays each fault on the day kept for it
              search  plays the days of these seeds with those faults whose records \
              don't hold, or with these,
                      and records in that file, with days beside it
            """;

    /** The status for a command line that can't be read. */
    private static final int NOT_UNDERSTOOD = 2;

    private final PrintStream out;
    private int threads = Runtime.getRuntime().availableProcessors();
    private Path record;

    /** With where it writes what it has to say. */
    public PlantedCommand(PrintStream out) {
        this.out = out;
    }

    /**
     * Does what the words say; the exit status is 0 only if every fault was seen as it should be.
     */
    public int run(String... words) throws IOException {
        List<String> rest = new ArrayList<>(Arrays.asList(words));
        String command = rest.isEmpty() ? "" : rest.remove(0);
        try {
            String given = option(rest, "--threads");
            threads = given == null ? threads : Integer.parseInt(given);
            given = option(rest, "--record");
            record = given == null ? null : Path.of(given);
            switch (command) {
                case "table":
                    out.print(FindingsTable.ofRecords(named(rest)));
                    return 0;
                case "check":
                    return check(named(rest));
                case "search":
                    String[] ends = (rest.isEmpty() ? "" : rest.remove(0)).split("-", 2);
                    return search(
                            named(rest),
                            Long.parseLong(ends[0]),
                            Long.parseLong(ends[ends.length - 1]),
                            !rest.isEmpty());
                default:
                    out.print(USAGE);
                    return NOT_UNDERSTOOD;
            }
        } catch (IllegalArgumentException e) {
            out.println("planted: " + e.getMessage());
            out.print(USAGE);
            return NOT_UNDERSTOOD;
        }
    }

    /** Null if absent. */
    private static String option(List<String> words, String name) {
        int at = words.indexOf(name);
        if (at < 0) {
            return null;
        }
        words.remove(at);
        if (at == words.size()) {
            throw new IllegalArgumentException(name + " wants a value");
        }
        return words.remove(at);
    }

    /** All if none is named. */
    private static List<PlantedFault> named(List<String> names) throws IOException {
        List<PlantedFault> all = FaultFile.packed();
        for (String name : names) {
            if (all.stream().noneMatch(fault -> fault.name().equals(name))) {
                throw new IllegalArgumentException("no fault of that name: " + name);
            }
        }
        return names.isEmpty()
                ? all
                : all.stream().filter(fault -> names.contains(fault.name())).toList();
    }

    private int check(List<PlantedFault> faults) throws IOException {
        List<PlantedFault> showable = faults.stream().filter(PlantedFault::showable).toList();
        List<Finding> findings =
                run().check(
                                showable,
                                finding -> {
                                    if (!PlantedRun.isAsRecorded(finding)) {
                                        print(finding);
                                    }
                                });
        long seen = findings.stream().filter(PlantedRun::isAsRecorded).count();
        out.println(findings.size() + " planted faults, " + seen + " seen on their days");
        return seen == findings.size() ? 0 : 1;
    }

    private int search(List<PlantedFault> faults, long from, long to, boolean named)
            throws IOException {
        PlantedRun run = run();
        List<PlantedFault> sought = faults;
        if (!named) {
            sought =
                    run.check(faults, finding -> {}).stream()
                            .filter(finding -> !PlantedRun.isAsRecorded(finding))
                            .map(Finding::fault)
                            .toList();
        }
        List<Finding> findings =
                run.search(
                        sought,
                        from,
                        (int) (to - from + 1),
                        finding -> {
                            print(finding);
                            record(finding);
                        });
        long seen = findings.stream().filter(Finding::expected).count();
        out.println(findings.size() + " planted faults looked for, " + seen + " seen");
        return seen == findings.size() ? 0 : 1;
    }

    /** At once, for a search takes long. */
    private void record(Finding finding) {
        if (record != null && finding.expected()) {
            try {
                Files.writeString(record, FaultFile.record(Files.readString(record), finding));
                KeptDays.keep(record, finding);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private PlantedRun run() throws IOException {
        return new PlantedRun(new Planter(), threads);
    }

    private void print(Finding finding) {
        out.println(
                finding.fault().name()
                        + ": "
                        + finding.said()
                        + (finding.found()
                                ? " (seed " + finding.seed() + ", tried " + finding.tried() + ")"
                                : "")
                        + (finding.found() && !finding.expected() ? " UNEXPECTED" : ""));
    }
}
