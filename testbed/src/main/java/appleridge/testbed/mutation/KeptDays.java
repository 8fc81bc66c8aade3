package appleridge.testbed.mutation;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The days on which planted faults were found: a scenario under each one's name. */
public final class KeptDays {
    private static final String DIRECTORY = "days";
    private static final String ENDING = ".txt";

    private KeptDays() {}

    /** The day kept for a fault; null if there is none. */
    public static String packed(String fault) {
        try (InputStream in =
                KeptDays.class.getResourceAsStream(
                        "/planted/" + DIRECTORY + "/" + fault + ENDING)) {
            return in == null ? null : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Keeps the day of a finding beside the file of the faults. */
    static void keep(Path faults, Finding finding) throws IOException {
        Path days = Files.createDirectories(faults.resolveSibling(DIRECTORY));
        Files.writeString(days.resolve(finding.fault().name() + ENDING), finding.day());
    }
}
