package appleridge.config.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

/**
 * The command {@code check-config [--config FILE] [--operator FILE] [--json]}: reports the settings
 * that a sidecar would have with these files, and the problems in them. Starts no sidecar.
 */
public final class CheckConfig {
    /** Exit status if a sidecar would start with these files. */
    public static final int EXIT_OK = 0;

    /** Exit status if it would not start, or if the arguments are invalid. */
    public static final int EXIT_PROBLEMS = 2;

    private static final String USAGE =
            "usage: check-config [--config FILE] [--operator FILE] [--json]";

    /** Contents that replace a missing operator's file: every setting has its default. */
    private static final byte[] EMPTY_OPERATOR_FILE = {'v', 'e', 'r', 's', 'i', 'o', 'n', '=', '1'};

    private final PlatformFile platform;
    private final PrintStream out;

    public CheckConfig(PlatformFile platform, PrintStream out) {
        this.platform = platform;
        this.out = out;
    }

    /**
     * Runs the command.
     *
     * @param arguments the arguments after the command's name
     * @param configByDefault the platform's file if {@code --config} is not given; null for none
     * @return {@link #EXIT_OK} or {@link #EXIT_PROBLEMS}
     */
    public int run(List<String> arguments, String configByDefault) {
        Path config;
        Path operator;
        boolean json = false;
        try {
            CheckArguments parsed = CheckArguments.parse(arguments);
            String configFile = parsed.config() == null ? configByDefault : parsed.config();
            config = configFile == null || configFile.isEmpty() ? null : Path.of(configFile);
            operator = parsed.operator() == null ? null : Path.of(parsed.operator());
            json = parsed.json();
        } catch (IllegalArgumentException e) {
            out.println(e.getMessage());
            out.println(USAGE);
            return EXIT_PROBLEMS;
        }
        CheckReport report = check(config, operator);
        out.print(json ? CheckJson.of(report) : CheckText.of(report));
        out.flush();
        return report.problems() == 0 ? EXIT_OK : EXIT_PROBLEMS;
    }

    private CheckReport check(Path config, Path operator) {
        PlatformFile.Summary summary = null;
        String problem = null;
        if (config != null) {
            try {
                summary = platform.read(config);
            } catch (IOException e) {
                problem = firstLine(MessageText.describeReadFailure(e));
            } catch (IllegalArgumentException e) {
                problem = firstLine(String.valueOf(e.getMessage()));
            }
        }
        return new CheckReport(
                config,
                summary,
                problem,
                operator,
                operator == null
                        ? OperatorFile.inspect(EMPTY_OPERATOR_FILE)
                        : OperatorFile.inspect(operator));
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("");
    }
}
