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
 * A process's state as text: a line with the version and the check sum of all behind it, a line
 * with the phase, then a line for each word. What is of another version, torn or too long is
 * refused whole.
 */
final class StateFile {
    static final int MOST_BYTES = 4 << 20;
    private static final String VERSION = "appleridge-state 1";

    private StateFile() {}

    static byte[] write(ProcessState state) {
        StringBuilder body = new StringBuilder(state.phase().storedWord()).append('\n');
        for (MaintenanceDirective word : state.directives()) {
            body.append(word.suspended() ? "out " : "back ")
                    .append(word.issuedAtUnixNanos())
                    .append(' ')
                    .append(word.id())
                    .append('\n');
        }
        String text = VERSION + " " + sum(body.toString()) + "\n" + body;
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String sum(String body) {
        CRC32 crc = new CRC32();
        crc.update(body.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    /** Throws where it can't be used, with the reason. */
    static ProcessState read(byte[] bytes) throws IOException {
        if (bytes.length > MOST_BYTES) {
            throw new IOException("too long");
        }
        String text = new String(bytes, StandardCharsets.UTF_8);
        int end = text.indexOf('\n');
        if (end < 0 || !text.startsWith(VERSION + " ")) {
            throw new IOException("another version, or torn");
        }
        String body = text.substring(end + 1);
        if (!text.substring(VERSION.length() + 1, end).equals(sum(body))) {
            throw new IOException("torn");
        }
        String[] lines = body.split("\n");
        List<MaintenanceDirective> words = new ArrayList<>();
        try {
            for (int i = 1; i < lines.length; i++) {
                String[] parts = lines[i].split(" ", 3);
                words.add(
                        new MaintenanceDirective(
                                parts[2], parts[0].equals("out"), Long.parseLong(parts[1])));
            }
            return new ProcessState(
                    ProcessPhase.ofStoredWord(lines[0]),
                    words.subList(0, Math.min(words.size(), ProcessState.MOST_WORDS)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("unreadable: " + e.getMessage(), e);
        }
    }
}
