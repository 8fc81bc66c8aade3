package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The application beside the sidecar: sends one request at a time on a connection, keeps it, and
 * sends a request once more on a new connection if the sidecar has closed a kept one under it.
 */
public final class UsualClient {
    /** How a request ended for its client. */
    public enum End {
        SERVED,
        FOREIGN,
        REFUSED,
        FAILED,
        /** Its connection, a new one, ended without an answer. */
        SHUT,
        /** It had neither an answer nor an end when its time and the slack were up. */
        LOST,
        NOT_TAKEN
    }

    /** A class of requests as the settings have it. */
    public record Kind(String name, String method, long deadlineMs) {}

    public static final Kind CHECK = new Kind("stock-check", "GET", 400);
    public static final Kind CONFIRM = new Kind("order-confirm", "POST", 1500);

    /** An answer may come this much later than the client's time. */
    private static final int SLACK_MS = 550;

    private static final AtomicInteger IDS = new AtomicInteger();

    private final Sidecar sidecar;
    private final Log log;
    private final String name;
    private Socket socket;
    private InputStream in;

    public UsualClient(Sidecar sidecar, Log log, String name) {
        this.sidecar = sidecar;
        this.log = log;
        this.name = name;
    }

    /** Sends a request and waits for its answer; the body of an answer names its request. */
    public End ask(Kind kind, byte[] body) {
        String id = String.format("%s-%06d", name, IDS.incrementAndGet());
        boolean kept = socket != null;
        End end = tryOnce(kind, id, body, kept);
        if (end == null) {
            end = tryOnce(kind, id, body, false);
        }
        return end;
    }

    /** Null if the request has to be sent once more on a new connection. */
    private End tryOnce(Kind kind, String id, byte[] body, boolean kept) {
        long sentAt = 0;
        try {
            if (socket == null) {
                socket = sidecar.connect();
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout((int) kind.deadlineMs() + SLACK_MS);
            socket.getOutputStream().write(Http.bytes(head(kind, id), body));
            sentAt = System.nanoTime();
            log.line("sent " + id + " " + kind.name());
            Http answer = Http.read(in);
            if (answer == null) {
                close();
                if (kept) {
                    log.line("closed under " + id + ", sent once more");
                    return null;
                }
                return ended(id, End.SHUT, "connection ended without an answer");
            }
            if ("close".equals(answer.header("connection"))) {
                close();
            }
            if (answer.status() == 200) {
                String made = answer.text().split(" ")[0];
                return made.equals(id)
                        ? ended(id, End.SERVED, "200")
                        : ended(id, End.FOREIGN, "200 with the answer made for " + made);
            }
            boolean refused = answer.status() == 503 || answer.status() == 429;
            return ended(id, refused ? End.REFUSED : End.FAILED, "" + answer.status());
        } catch (SocketTimeoutException e) {
            close();
            return ended(id, End.LOST, "no answer within its time and " + SLACK_MS + " ms");
        } catch (IOException e) {
            close();
            if (kept) {
                log.line("reset under " + id + ", sent once more");
                return null;
            }
            return sentAt == 0
                    ? ended(id, End.NOT_TAKEN, e.getMessage())
                    : ended(id, End.SHUT, e.getMessage());
        }
    }

    private static String head(Kind kind, String id) {
        return kind.method()
                + " /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: "
                + id
                + "\r\nX-Class: "
                + kind.name()
                + "\r\nX-Tenant: cycles-moris\r\nX-Deadline: "
                + kind.deadlineMs() / 1000.0
                + "\r\n"
                + (kind.method().equals("POST") ? "Idempotency-Key: key-" + id + "\r\n" : "");
    }

    private End ended(String id, End end, String how) {
        log.line("answered " + id + " " + end + " " + how);
        return end;
    }

    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed either way.
            }
            socket = null;
        }
    }
}
