package appleridge.hotrestart.file;

import appleridge.hotrestart.MaintenanceDirective;
import appleridge.hotrestart.ProcessPhase;
import appleridge.hotrestart.ProcessState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A process's state as a state file, in text: a line with the version and the CRC-32 of all that
 * follows, a line with the phase, then a line for each directive. Processes of other versions read
 * it too, so it never changes. A file of another version, torn or too long is rejected whole.
 */
final class ProcessStateCodec {
    /** The longest state file that is read. */
    static final int MAX_BYTES = 4 << 20;

    private static final String VERSION = "appleridge-state 1";

    private ProcessStateCodec() {}

    /** The bytes of the state file. */
    static byte[] write(ProcessState state) {
        StringBuilder body = new StringBuilder(state.phase().storedWord()).append('\n');
        for (MaintenanceDirective directive : state.directives()) {
            body.append(directive.suspended() ? "out " : "back ")
                    .append(directive.issuedAtUnixNanos())
                    .append(' ')
                    .append(directive.id())
                    .append('\n');
        }
        String text = VERSION + " " + checksum(body.toString()) + "\n" + body;
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String checksum(String body) {
        CRC32 crc = new CRC32();
        crc.update(body.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    /**
     * Reads a state file.
     *
     * @throws IOException where it can't be used, with the reason
     */
    static ProcessState read(byte[] bytes) throws IOException {
        if (bytes.length > MAX_BYTES) {
            throw new IOException("too long");
        }
        String text = new String(bytes, StandardCharsets.UTF_8);
        int end = text.indexOf('\n');
        if (end < 0 || !text.startsWith(VERSION + " ")) {
            throw new IOException("another version, or torn");
        }
        String body = text.substring(end + 1);
        if (!text.substring(VERSION.length() + 1, end).equals(checksum(body))) {
            throw new IOException("torn");
        }
        String[] lines = body.split("\n");
        List<MaintenanceDirective> directives = new ArrayList<>();
        try {
            for (int i = 1; i < lines.length; i++) {
                String[] parts = lines[i].split(" ", 3);
                directives.add(
                        new MaintenanceDirective(
                                parts[2], parts[0].equals("out"), Long.parseLong(parts[1])));
            }
            return new ProcessState(
                    ProcessPhase.ofStoredWord(lines[0]),
                    directives.subList(
                            0, Math.min(directives.size(), ProcessState.MAX_DIRECTIVES)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("unreadable: " + e.getMessage(), e);
        }
    }
}
