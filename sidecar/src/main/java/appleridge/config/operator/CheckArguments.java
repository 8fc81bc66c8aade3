package appleridge.config.operator;

import java.util.List;

/**
 * The arguments of {@code check-config}.
 *
 * @param config the platform's file; null if not given
 * @param operator the operator's file; null if not given
 * @param json whether to print JSON
 */
record CheckArguments(String config, String operator, boolean json) {
    /**
     * Parses the arguments.
     *
     * @throws IllegalArgumentException if one is unknown, given twice or lacks its file
     */
    static CheckArguments parse(List<String> arguments) {
        String config = null;
        String operator = null;
        boolean json = false;
        for (int i = 0; i < arguments.size(); i++) {
            String argument = arguments.get(i);
            switch (argument) {
                case "--config" -> config = file(arguments, i++, config);
                case "--operator" -> operator = file(arguments, i++, operator);
                case "--json" -> json = true;
                default ->
                        throw new IllegalArgumentException(
                                "unknown argument: " + MessageText.quoted(argument));
            }
        }
        return new CheckArguments(config, operator, json);
    }

    private static String file(List<String> arguments, int index, String previous) {
        if (previous != null) {
            throw new IllegalArgumentException(arguments.get(index) + " is given twice");
        }
        if (index + 1 == arguments.size() || arguments.get(index + 1).isEmpty()) {
            throw new IllegalArgumentException(arguments.get(index) + " needs a file");
        }
        return arguments.get(index + 1);
    }
}
