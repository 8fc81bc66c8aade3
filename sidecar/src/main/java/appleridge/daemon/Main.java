package appleridge.daemon;

import appleridge.lease.task.Guardian;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Entry point of the packaged jar: the real sidecar, what helps its operators, or the simulator's
 * adapter.
 */
public final class Main {
    private static final String USAGE =
            "usage: java -jar appleridge.jar serve [--operator FILE] | warm-up"
                    + " | adapter | check-config [--config FILE] [--operator FILE] [--json]"
                    + " | register ... -- COMMAND | task --operator FILE --lease NAME -- COMMAND";

    private Main() {}

    /** Runs what the first argument names. */
    public static void main(String[] args) {
        List<String> words = Arrays.asList(args);
        if (words.equals(List.of("serve"))) {
            ServeCommand.main(null);
        } else if (words.size() == 3
                && words.subList(0, 2).equals(List.of("serve", "--operator"))) {
            ServeCommand.main(Path.of(args[2]));
        } else if (words.equals(List.of("warm-up"))) {
            ServeCommand.warmUp();
        } else if (words.equals(List.of("adapter"))) {
            appleridge.simulator.SimulatorAdapter.main();
        } else if (!words.isEmpty() && words.get(0).equals("check-config")) {
            System.exit(OperatorFileStartup.check(words.subList(1, words.size())));
        } else if (!words.isEmpty() && words.get(0).equals("register")) {
            System.exit(OperatorFileStartup.register(words.subList(1, words.size())));
        } else if (!words.isEmpty() && words.get(0).equals("task")) {
            System.exit(OperatorFileStartup.task(words.subList(1, words.size())));
        } else if (!words.isEmpty() && words.get(0).equals("task-guard")) {
            System.exit(Guardian.run(words.subList(1, words.size())));
        } else {
            System.err.println(USAGE);
            System.exit(2);
        }
    }
}
