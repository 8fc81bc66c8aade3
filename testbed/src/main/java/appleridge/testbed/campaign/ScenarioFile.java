package appleridge.testbed.campaign;

import appleridge.testbed.simulation.Plan;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** A scenario that a person names on the command line. */
final class ScenarioFile {
    private ScenarioFile() {}

    /** The plan in it; what is wrong with it is told by the exception. */
    static Plan read(String name) throws IOException {
        try {
            return Plan.parse(Files.readString(Path.of(name)));
        } catch (NoSuchFileException | InvalidPathException e) {
            throw new IllegalArgumentException("no such file: " + name, e);
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("no text: " + name, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(name + ": " + e.getMessage(), e);
        }
    }
}
