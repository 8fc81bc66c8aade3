package appleridge.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * A fault-injecting proxy on loopback: forwards bytes both ways, and delays each chunk from the
 * target by a seeded random time.
 */
final class DelayingProxy implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final long maxDelayNanos;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

    DelayingProxy(InetSocketAddress target, long seed, long maxDelayNanos) throws IOException {
        this.target = target;
        this.random = new SplittableRandom(seed);
        this.maxDelayNanos = maxDelayNanos;
        startDaemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "delaying-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                Socket server = new Socket();
                server.connect(target);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                sockets.add(client);
                sockets.add(server);
                startDaemon(() -> forward(client, server, false));
                startDaemon(() -> forward(server, client, true));
            }
        } catch (IOException e) {
            // The proxy was closed.
        }
    }

    private void forward(Socket from, Socket to, boolean delayed) {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] chunk = new byte[8192];
            for (int n = in.read(chunk); n > 0; n = in.read(chunk)) {
                if (delayed) {
                    LockSupport.parkNanos(nextDelayNanos());
                }
                out.write(chunk, 0, n);
            }
        } catch (IOException e) {
            // One side closed its connection; the other one is closed with it.
        }
    }

    private synchronized long nextDelayNanos() {
        return random.nextLong(maxDelayNanos);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
