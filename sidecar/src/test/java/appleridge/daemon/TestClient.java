package appleridge.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A client of the sidecar on one blocking connection. */
public final class TestClient implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();
    public final Socket socket = new Socket();

    public TestClient(InetSocketAddress address) throws IOException {
        socket.connect(address, (int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        socket.setTcpNoDelay(true);
    }

    /** A well-formed request with a new id, of a class in {@link LoopbackSidecar}'s settings. */
    public static String request(String requestClass, String deadline, String... headers) {
        String method = requestClass.equals("read") ? "GET" : "POST";
        String key =
                requestClass.equals("write") || requestClass.equals("hold")
                        ? "Idempotency-Key: k" + IDS.get() + "\r\n"
                        : "";
        String headerLines = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        String body = method.equals("POST") ? "Content-Length: 4\r\n\r\nbody" : "\r\n";
        return method
                + " /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: id"
                + IDS.incrementAndGet()
                + "\r\nX-Class: "
                + requestClass
                + "\r\nX-Deadline: "
                + deadline
                + "\r\n"
                + key
                + headerLines
                + body;
    }

    public void send(String text) throws IOException {
        StubUpstream.write(socket, text);
    }

    /** Reads the next response; null at the end of the connection. */
    public String read() throws IOException {
        return StubUpstream.readMessage(socket.getInputStream());
    }

    /** Sends a request and reads the response. */
    public String exchange(String text) throws IOException {
        send(text);
        return read();
    }

    public static int status(String response) {
        return Integer.parseInt(response.split(" ")[1]);
    }

    public static String body(String response) {
        return response.split("\r\n\r\n", 2)[1];
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
