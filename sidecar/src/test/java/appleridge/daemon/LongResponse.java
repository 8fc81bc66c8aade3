package appleridge.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * A successful response of more than 64 KiB that an upstream writes slowly.
 *
 * @param framing how the end of the body is marked
 * @param pace how the body is spread over time
 * @param length the length of the body in bytes
 * @param pauseMillis the pause of {@code LUMPS} between two parts, or of {@code LATE_BODY} between
 *     the head and the body
 */
record LongResponse(Framing framing, Pace pace, int length, long pauseMillis) {
    private static final int STEADY_PIECES = 40;
    private static final long STEADY_MILLIS = 2000;
    private static final int LUMPS = 3;
    private static final byte[] CRLF = {'\r', '\n'};

    /** How the end of the body is marked. */
    enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /** How the body is spread over time. */
    enum Pace {
        STEADY,
        LUMPS,
        LATE_BODY
    }

    /** The name of the request header that tells {@link #serveAsRequested} what to write. */
    private static final String HEADER = "X-Response";

    /** The header line by which a request asks for this response. */
    String requestHeader() {
        return HEADER + ": " + framing + "," + pace + "," + length + "," + pauseMillis;
    }

    /** Writes the response that the request asks for, as a {@link StubUpstream.Script}. */
    static boolean serveAsRequested(Socket socket, String request)
            throws IOException, InterruptedException {
        String[] values = StubUpstream.header(request, HEADER.toLowerCase()).split(",");
        LongResponse response =
                new LongResponse(
                        Framing.valueOf(values[0]),
                        Pace.valueOf(values[1]),
                        Integer.parseInt(values[2]),
                        Long.parseLong(values[3]));
        return response.serve(socket);
    }

    /** The body, which is the same for each response of a length. */
    byte[] body() {
        byte[] body = new byte[length];
        new Random(length).nextBytes(body);
        return body;
    }

    /** Writes the response; returns whether the connection stays open. */
    private boolean serve(Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        String end =
                switch (framing) {
                    case LENGTH -> "Content-Length: " + length;
                    case CHUNKED -> "Transfer-Encoding: chunked";
                    case CLOSE -> "Connection: close";
                };
        write(out, "HTTP/1.1 200 OK\r\n" + end + "\r\n\r\n");
        switch (pace) {
            case STEADY -> writeParts(out, STEADY_PIECES, STEADY_MILLIS / STEADY_PIECES);
            case LUMPS -> writeParts(out, LUMPS, pauseMillis);
            case LATE_BODY -> {
                Thread.sleep(pauseMillis);
                writeParts(out, 1, 0);
            }
            default -> throw new IllegalStateException("pace " + pace);
        }
        if (framing == Framing.CHUNKED) {
            write(out, "0\r\n\r\n");
        }
        return framing != Framing.CLOSE;
    }

    private void writeParts(OutputStream out, int parts, long pause)
            throws IOException, InterruptedException {
        byte[] body = body();
        for (int part = 0; part < parts; part++) {
            if (part > 0) {
                Thread.sleep(pause);
            }
            int from = (int) ((long) length * part / parts);
            int to = (int) ((long) length * (part + 1) / parts);
            if (framing == Framing.CHUNKED) {
                write(out, Integer.toHexString(to - from) + "\r\n");
            }
            out.write(body, from, to - from);
            if (framing == Framing.CHUNKED) {
                out.write(CRLF);
            }
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
