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
 * Encodes a process's state as a state file and decodes it. The file is UTF-8 text: a line with the
 * format version and the CRC-32 of all following lines, a line with the phase, then one line for
 * each directive. Processes of other versions read the file too, so the format must not change. A
 * file that has another version, is incomplete or is too long is rejected whole.
 */
final class ProcessStateCodec {
    /** The size limit of a state file that is read, in bytes. */
    static final int MAX_BYTES = 4 << 20;

    private static final String VERSION = "appleridge-state 1";

    private ProcessStateCodec() {}

    /** Encodes a state. */
    static byte[] write(ProcessState state) {
        StringBuilder body = new StringBuilder(state.phase().storedName()).append('\n');
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
     * Decodes a state. Ignores directives beyond {@link ProcessState#MAX_DIRECTIVES}.
     *
     * @throws IOException if the bytes are no valid state file; the message gives the reason
     */
    static ProcessState read(byte[] bytes) throws IOException {
        if (bytes.length > MAX_BYTES) {
            throw new IOException(
                    "the state file has " + bytes.length + " bytes, more than " + MAX_BYTES);
        }
        String text = new String(bytes, StandardCharsets.UTF_8);
        int headerEnd = text.indexOf('\n');
        if (headerEnd < 0 || !text.startsWith(VERSION + " ")) {
            throw new IOException(
                    "the state file is truncated, or does not begin with \"" + VERSION + "\"");
        }
        String body = text.substring(headerEnd + 1);
        if (!text.substring(VERSION.length() + 1, headerEnd).equals(checksum(body))) {
            throw new IOException("the checksum of the state file does not match");
        }
        String[] lines = body.split("\n");
        List<MaintenanceDirective> directives = new ArrayList<>();
        try {
            for (int i = 1; i < lines.length; i++) {
                String[] fields = lines[i].split(" ", 3);
                directives.add(
                        new MaintenanceDirective(
                                fields[2], fields[0].equals("out"), Long.parseLong(fields[1])));
            }
            return new ProcessState(
                    ProcessPhase.ofStoredName(lines[0]),
                    directives.subList(
                            0, Math.min(directives.size(), ProcessState.MAX_DIRECTIVES)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("malformed state file: " + e.getMessage(), e);
        }
    }
}
