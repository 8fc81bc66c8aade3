package appleridge.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * An upstream with a small receive buffer that reads requests slowly, or stops in the middle of
 * them, and never responds. Thread-safe.
 */
final class SlowReadingUpstream implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final int PIECE_BYTES = 2000;

    private final ServerSocket listener = new ServerSocket();
    private final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();
    private final int stopAfterBytes;
    private final int bytesPerSecond;

    /**
     * Starts an upstream.
     *
     * @param stopAfterBytes after how many bytes of a connection it reads no more
     * @param bytesPerSecond how fast it reads up to there
     */
    SlowReadingUpstream(int stopAfterBytes, int bytesPerSecond) throws IOException {
        this.stopAfterBytes = stopAfterBytes;
        this.bytesPerSecond = bytesPerSecond;
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        startDaemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns how many connections were accepted. */
    int connectionCount() {
        return accepted.size();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "slow-reading-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                accepted.add(socket);
                startDaemon(() -> read(socket));
            }
        } catch (IOException e) {
            // The upstream was closed.
        }
    }

    private void read(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            for (int read = 0; read < stopAfterBytes; read += PIECE_BYTES) {
                if (in.readNBytes(Math.min(PIECE_BYTES, stopAfterBytes - read)).length == 0) {
                    socket.close();
                    return;
                }
                TimeUnit.MICROSECONDS.sleep(
                        TimeUnit.SECONDS.toMicros(PIECE_BYTES) / bytesPerSecond);
            }
        } catch (IOException e) {
            // The peer closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
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
