import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** A sound upstream: answers each request after its work time with a body that names the request. */
final class Upstream {
    interface Seen {
        void request(Upstream at, Http.Message request);
    }

    final String uid;
    private final Rig rig;
    private final ServerSocket socket;
    private final long workMillis;
    private final Seen seen;
    final AtomicInteger served = new AtomicInteger();

    Upstream(Rig rig, String uid, long workMillis, Seen seen) throws IOException {
        this.rig = rig;
        this.uid = uid;
        this.workMillis = workMillis;
        this.seen = seen;
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Rig.daemon("upstream-" + uid, this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Http.Connection connection = new Http.Connection(socket.accept());
                Rig.daemon("upstream-connection", () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Http.Connection connection) {
        try (connection) {
            while (true) {
                Http.Message request = connection.read(0);
                if (request.header("x-request-id").isEmpty()) {
                    connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                seen.request(this, request);
                Rig.sleep(workMillis);
                String body = answerTo(request.header("x-request-id"));
                served.incrementAndGet();
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        } catch (IOException e) {
            // the connection has ended
        }
    }

    static String answerTo(String id) {
        return "answer to " + id;
    }
}
