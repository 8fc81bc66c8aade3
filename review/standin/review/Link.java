package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.locks.LockSupport;

/** A link to a server: passes bytes on both ways, each some time after they came. */
public final class Link implements AutoCloseable {
    private final ServerSocket listener =
            new ServerSocket(0, 450, InetAddress.getLoopbackAddress());
    private final int serverPort;
    private final long oneWayNanos;

    public Link(int serverPort, long oneWayNanos) throws IOException {
        this.serverPort = serverPort;
        this.oneWayNanos = oneWayNanos;
        Threads.start("link", this::accept);
    }

    public int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Socket server = new Socket(InetAddress.getLoopbackAddress(), serverPort);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Threads.start("to server", () -> pass(client, server));
                Threads.start("to client", () -> pass(server, client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] bytes = new byte[16 << 10];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                long due = System.nanoTime() + oneWayNanos;
                for (long left = oneWayNanos; left > 0; left = due - System.nanoTime()) {
                    LockSupport.parkNanos(Math.max(1, left - 50_000));
                }
                out.write(bytes, 0, n);
            }
        } catch (IOException e) {
            // One of the two has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
