package appleridge.testbed.mutation;

import java.util.List;

/** What is recorded of the faults, as tables in Markdown. */
public final class FindingsTable {
    private FindingsTable() {}

    /**
     * A row for each fault, in the order given; those that no day can show have a table of their
     * own.
     */
    public static String ofRecords(List<PlantedFault> faults) {
        StringBuilder table =
                new StringBuilder(
                        """
                        | fault | what is wrong | found by rule | seeds tried | day |
                        | --- | --- | --- | ---: | --- |
                        """);
        for (PlantedFault fault : faults) {
            if (fault.showable()) {
                PlantedFault.Seen seen = fault.seen();
                table.append(start(fault))
                        .append(
                                seen == null
                                        ? "**not found** | | |\n"
                                        : seen.rule()
                                                + " | "
                                                + (seen.tried() == 0
                                                        ? "a scenario | written by hand |\n"
                                                        : seen.tried()
                                                                + " | seed "
                                                                + seen.seed()
                                                                + " |\n"));
            }
        }
        if (faults.stream().allMatch(PlantedFault::showable)) {
            return table.toString();
        }
        table.append(
                """

                | fault | what is wrong | why no day shows it |
                | --- | --- | --- |
                """);
        for (PlantedFault fault : faults) {
            if (!fault.showable()) {
                table.append(start(fault)).append(cell(fault.unseen())).append(" |\n");
            }
        }
        return table.toString();
    }

    private static String start(PlantedFault fault) {
        return "| `" + fault.name() + "` | " + cell(fault.what()) + " | ";
    }

    private static String cell(String text) {
        return text.replace("|", "\\|");
    }
}
