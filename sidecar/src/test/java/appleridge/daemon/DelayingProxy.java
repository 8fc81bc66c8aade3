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
 * A fault proxy on loopback: passes bytes both ways, and holds each piece of what comes back for a
 * time drawn by its seed.
 */
final class DelayingProxy implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final long mostNanos;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

    DelayingProxy(InetSocketAddress target, long seed, long mostNanos) throws IOException {
        this.target = target;
        this.random = new SplittableRandom(seed);
        this.mostNanos = mostNanos;
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void daemon(Runnable what) {
        Thread thread = new Thread(what, "delaying-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(target);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                sockets.add(near);
                sockets.add(far);
                daemon(() -> pass(near, far, false));
                daemon(() -> pass(far, near, true));
            }
        } catch (IOException e) {
            // The proxy was closed.
        }
    }

    private void pass(Socket from, Socket to, boolean held) {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] piece = new byte[8192];
            for (int n = in.read(piece); n > 0; n = in.read(piece)) {
                if (held) {
                    LockSupport.parkNanos(delay());
                }
                out.write(piece, 0, n);
            }
        } catch (IOException e) {
            // One side has gone, and with it the other.
        }
    }

    private synchronized long delay() {
        return random.nextLong(mostNanos);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
