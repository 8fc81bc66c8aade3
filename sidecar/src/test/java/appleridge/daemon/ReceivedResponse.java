package appleridge.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * A response as a client receives it.
 *
 * @param head the head in lower case, its lines separated by newlines
 * @param body what was received of the body, without its framing
 * @param complete whether the body is whole
 */
record ReceivedResponse(String head, byte[] body, boolean complete) {
    /** Reads a response whose body has a length, is chunked or ends with the connection. */
    static ReceivedResponse read(InputStream in) throws IOException {
        StringBuilder lines = new StringBuilder(String.valueOf(readLine(in)));
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            lines.append('\n').append(line);
        }
        String head = lines.toString().toLowerCase();
        if (head.contains("transfer-encoding: chunked")) {
            return readChunks(in, head);
        }
        int at = head.indexOf("content-length: ");
        if (at < 0) {
            return new ReceivedResponse(head, in.readAllBytes(), true);
        }
        int length = Integer.parseInt(head.substring(at + 16).split("\n")[0]);
        byte[] body = in.readNBytes(length);
        return new ReceivedResponse(head, body, body.length == length);
    }

    private static ReceivedResponse readChunks(InputStream in, String head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                return new ReceivedResponse(head, body.toByteArray(), false);
            }
            int length = Integer.parseInt(size, 16);
            byte[] chunk = in.readNBytes(length);
            body.write(chunk);
            String end = readLine(in);
            if (end == null || chunk.length < length) {
                return new ReceivedResponse(head, body.toByteArray(), false);
            }
            if (length == 0) {
                return new ReceivedResponse(head, body.toByteArray(), true);
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return null;
    }
}
