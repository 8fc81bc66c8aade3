package appleridge.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * An upstream that reads requests at a steady pace, and responds to each once it has read all of
 * it. Records when each request began to arrive. Thread-safe.
 */
final class PacedUpstream implements AutoCloseable {
    private static final int PIECES_PER_SECOND = 50;
    private static final long PIECE_MILLIS = 1000 / PIECES_PER_SECOND;

    private final ServerSocket listener = new ServerSocket();
    private final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> begunAtNanos = new ConcurrentHashMap<>();
    private final int bytesPerSecond;

    /**
     * Starts an upstream.
     *
     * @param bytesPerSecond how fast it reads a body
     * @param receiveBufferBytes the size of its receive buffer; 0 for the system's default
     */
    PacedUpstream(int bytesPerSecond, int receiveBufferBytes) throws IOException {
        this.bytesPerSecond = bytesPerSecond;
        if (receiveBufferBytes > 0) {
            listener.setReceiveBufferSize(receiveBufferBytes);
        }
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        startDaemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** When each request began to arrive, by its id, on {@link System#nanoTime}. */
    Map<String, Long> begunAtNanos() {
        return begunAtNanos;
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "paced-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                accepted.add(socket);
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The upstream was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            while (true) {
                String head = readHead(in);
                begunAtNanos.put(StubUpstream.header(head, "x-request-id"), System.nanoTime());
                String length = StubUpstream.header(head, "content-length");
                readBody(in, length == null ? 0 : Integer.parseInt(length));
                StubUpstream.write(socket, StubUpstream.response("200 OK", "fine"));
            }
        } catch (IOException e) {
            // The sidecar closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private void readBody(InputStream in, int length) throws IOException, InterruptedException {
        int piece = bytesPerSecond / PIECES_PER_SECOND;
        for (int left = length; left > 0; left -= piece) {
            if (in.readNBytes(Math.min(piece, left)).length == 0) {
                throw new IOException("the connection ended");
            }
            Thread.sleep(PIECE_MILLIS);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
