package appleridge.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** The application's end of one connection. */
public final class TestClient implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();
    public final Socket socket = new Socket();

    public TestClient(InetSocketAddress address) throws IOException {
        socket.connect(address, (int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        socket.setTcpNoDelay(true);
    }

    /** A well-formed request of a class in {@link LoopbackSidecar}'s settings. */
    public static String request(String requestClass, String deadline, String... headers) {
        String method = requestClass.equals("read") ? "GET" : "POST";
        String key =
                requestClass.equals("write") || requestClass.equals("hold")
                        ? "Idempotency-Key: k" + IDS.get() + "\r\n"
                        : "";
        String more = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
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
                + more
                + body;
    }

    public void send(String text) throws IOException {
        StubUpstream.write(socket, text);
    }

    public String read() throws IOException {
        return StubUpstream.readMessage(socket.getInputStream());
    }

    public String exchange(String text) throws IOException {
        send(text);
        return read();
    }

    public static int status(String answer) {
        return Integer.parseInt(answer.split(" ")[1]);
    }

    public static String body(String answer) {
        return answer.split("\r\n\r\n", 2)[1];
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
