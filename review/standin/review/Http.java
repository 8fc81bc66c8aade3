package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message with a Content-Length or no body. */
public record Http(String startLine, Map<String, String> headers, byte[] body) {
    /** Reads a message; null if the connection ends before its first byte. */
    public static Http read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body broke off");
        }
        return new Http(line, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (text.length() == 0) {
                    return null;
                }
                throw new EOFException("the head broke off");
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    public int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    public String header(String name) {
        return headers.get(name);
    }

    public static byte[] bytes(String head, byte[] body) {
        byte[] first =
                (head + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[first.length + body.length];
        System.arraycopy(first, 0, whole, 0, first.length);
        System.arraycopy(body, 0, whole, first.length, body.length);
        return whole;
    }
}
