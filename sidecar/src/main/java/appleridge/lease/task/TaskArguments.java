package appleridge.lease.task;

import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command-line arguments of {@code task}; immutable once parsed. */
@Command(
        name = "task",
        sortOptions = false,
        separator = " ",
        usageHelpWidth = 110,
        description = "Runs COMMAND on one machine of the fleet at a time, under a lease.",
        customSynopsis = "task --operator FILE --lease NAME -- COMMAND [ARGUMENT...]")
final class TaskArguments {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.:@-]{1,128}");

    @Spec private CommandSpec spec;

    @Option(
            names = "--operator",
            required = true,
            paramLabel = "FILE",
            description = "The operator's file; its section [leases] configures the leases.")
    private Path operator;

    private String lease;

    @Parameters(
            arity = "1..*",
            paramLabel = "COMMAND",
            description = "The command to run, and its arguments.")
    private List<String> command;

    private TaskArguments() {}

    /**
     * Parses the arguments.
     *
     * @throws IllegalArgumentException if they are invalid, with a message for the operator
     */
    static TaskArguments parse(List<String> words) {
        TaskArguments arguments = new TaskArguments();
        try {
            // Without "--", an "@file" or an option of the command would be parsed as one of task.
            if (!words.contains("--")) {
                throw new IllegalArgumentException("no command after --");
            }
            new CommandLine(arguments)
                    .setExpandAtFiles(false)
                    .parseArgs(words.toArray(new String[0]));
            int commandWords = words.size() - words.indexOf("--") - 1;
            if (arguments.command.size() > commandWords) {
                throw new IllegalArgumentException("unknown argument: " + arguments.command.get(0));
            }
        } catch (ParameterException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return arguments;
    }

    static String usage() {
        return new CommandLine(new TaskArguments()).getUsageMessage(CommandLine.Help.Ansi.OFF);
    }

    @Option(
            names = "--lease",
            required = true,
            paramLabel = "NAME",
            description = "The lease's name, of letters, digits and any of _.:@-")
    private void lease(String name) {
        if (!NAME.matcher(name).matches() || name.equals(".") || name.equals("..")) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--lease may hold up to 128 letters, digits and any of _.:@-");
        }
        lease = name;
    }

    Path operator() {
        return operator;
    }

    String lease() {
        return lease;
    }

    List<String> command() {
        return List.copyOf(command);
    }
}
