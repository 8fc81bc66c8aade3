package appleridge.testbed.coordination;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Requests a sidecar's health repeatedly on one connection. A response waits until the event loop
 * finishes its current turn, so the slowest response bounds the longest turn that a probe met.
 */
final class Probe implements AutoCloseable {
    private static final byte[] REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: probe\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int PAUSE_MILLIS = 2;

    private final int port;
    private final Thread thread = new Thread(this::run, "probe");
    private final List<Long> took = new ArrayList<>();
    private volatile boolean closed;

    Probe(int port) {
        this.port = port;
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!closed) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                byte[] answer = new byte[4096];
                while (!closed) {
                    long from = System.nanoTime();
                    socket.getOutputStream().write(REQUEST);
                    InputStream in = socket.getInputStream();
                    int read = in.read(answer);
                    if (read < 0) {
                        break;
                    }
                    record(System.nanoTime() - from);
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            } catch (IOException e) {
                // Reconnects in the next iteration.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void record(long nanos) {
        took.add(nanos);
    }

    /** Returns and clears the response times in nanoseconds since the last call. */
    synchronized Samples drainSamples() {
        Samples all = new Samples(took);
        took.clear();
        return all;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
