package appleridge.daemon;

import appleridge.lease.task.Guardian;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Entry point of the packaged jar: dispatches to the commands. */
public final class Main {
    private static final String USAGE =
            "usage: java -jar appleridge.jar serve [--operator FILE] | warm-up"
                    + " | adapter | check-config [--config FILE] [--operator FILE] [--json]"
                    + " | register ... -- COMMAND | task --operator FILE --lease NAME -- COMMAND";

    private Main() {}

    /** Runs the command named by the first argument; exits with status 2 if it is unknown. */
    public static void main(String[] args) {
        List<String> arguments = Arrays.asList(args);
        if (arguments.equals(List.of("serve"))) {
            ServeCommand.main(null);
        } else if (arguments.size() == 3
                && arguments.subList(0, 2).equals(List.of("serve", "--operator"))) {
            ServeCommand.main(Path.of(args[2]));
        } else if (arguments.equals(List.of("warm-up"))) {
            ServeCommand.warmUp();
        } else if (arguments.equals(List.of("adapter"))) {
            appleridge.simulator.SimulatorAdapter.main();
        } else if (!arguments.isEmpty() && arguments.get(0).equals("check-config")) {
            System.exit(OperatorFileStartup.check(arguments.subList(1, arguments.size())));
        } else if (!arguments.isEmpty() && arguments.get(0).equals("register")) {
            System.exit(OperatorFileStartup.register(arguments.subList(1, arguments.size())));
        } else if (!arguments.isEmpty() && arguments.get(0).equals("task")) {
            System.exit(OperatorFileStartup.task(arguments.subList(1, arguments.size())));
        } else if (!arguments.isEmpty() && arguments.get(0).equals("task-guard")) {
            System.exit(Guardian.run(arguments.subList(1, arguments.size())));
        } else {
            System.err.println(USAGE);
            System.exit(2);
        }
    }
}
