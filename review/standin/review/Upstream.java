package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** An order server: reads requests and gives each to a handler, one thread a connection. */
public final class Upstream implements AutoCloseable {
    /** Answers a request, at once or later, or not at all. */
    public interface Handler {
        void handle(
                Upstream upstream, Http request, Socket socket, InputStream in, OutputStream out)
                throws Exception;
    }

    private final String uid;
    private final ServerSocket listener;
    private final Handler handler;

    public Upstream(String uid, Handler handler) throws IOException {
        this(uid, 0, handler);
    }

    public Upstream(String uid, int port, Handler handler) throws IOException {
        this.uid = uid;
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(
                new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 450);
        Threads.start("accept " + uid, this::accept);
    }

    public String uid() {
        return uid;
    }

    public int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("connection " + uid, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 8192);
            OutputStream out = socket.getOutputStream();
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                handler.handle(this, request, socket, in, out);
            }
        } catch (IOException e) {
            // The sidecar has closed the connection, or its end has been lost.
        }
    }

    /** A served answer. */
    public static byte[] ok(byte[] body) {
        return Http.bytes(
                "HTTP/1.1 200 OK\r\nX-Load: rate=10.0,lat_ms=40.0,fail_rate=0.0,q=0\r\n", body);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
