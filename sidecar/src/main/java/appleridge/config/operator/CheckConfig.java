package appleridge.config.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

/**
 * The command {@code check-config [--config FILE] [--operator FILE] [--json]}: says what a start
 * with these files would do, and what is wrong with them. Starts nothing.
 */
public final class CheckConfig {
    /** Exit status where a sidecar would start with these files. */
    public static final int FINE = 0;

    /** Exit status where it would not, or where the command makes no sense. */
    public static final int PROBLEMS = 2;

    private static final String USAGE =
            "usage: check-config [--config FILE] [--operator FILE] [--json]";

    /** What stands for a file that is not there: it leaves everything as usual. */
    private static final byte[] NOTHING = {'v', 'e', 'r', 's', 'i', 'o', 'n', '=', '1'};

    private final PlatformFile platform;
    private final PrintStream out;

    public CheckConfig(PlatformFile platform, PrintStream out) {
        this.platform = platform;
        this.out = out;
    }

    /**
     * Runs the command.
     *
     * @param arguments what follows the command's name
     * @param configByDefault the platform's file where {@code --config} doesn't say; null if there
     *     is none
     * @return {@link #FINE} or {@link #PROBLEMS}
     */
    public int run(List<String> arguments, String configByDefault) {
        Path config;
        Path operator;
        boolean json = false;
        try {
            CheckArguments asked = CheckArguments.parse(arguments);
            String configFile = asked.config() == null ? configByDefault : asked.config();
            config = configFile == null || configFile.isEmpty() ? null : Path.of(configFile);
            operator = asked.operator() == null ? null : Path.of(asked.operator());
            json = asked.json();
        } catch (IllegalArgumentException e) {
            out.println(e.getMessage());
            out.println(USAGE);
            return PROBLEMS;
        }
        CheckReport report = check(config, operator);
        out.print(json ? CheckJson.of(report) : CheckText.of(report));
        out.flush();
        return report.problems() == 0 ? FINE : PROBLEMS;
    }

    private CheckReport check(Path config, Path operator) {
        PlatformFile.Summary summary = null;
        String problem = null;
        if (config != null) {
            try {
                summary = platform.read(config);
            } catch (IOException e) {
                problem = firstLine(MessageText.unreadable(e));
            } catch (IllegalArgumentException e) {
                problem = firstLine(String.valueOf(e.getMessage()));
            }
        }
        return new CheckReport(
                config,
                summary,
                problem,
                operator,
                operator == null ? OperatorFile.inspect(NOTHING) : OperatorFile.inspect(operator));
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("");
    }
}
