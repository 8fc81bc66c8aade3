package appleridge.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** An upstream whose accept queue is full, so that connections to it do not come up. */
final class SilentUpstream implements AutoCloseable {
    private static final int MAX_QUEUED = 8;
    private static final int CONNECT_MILLIS = 200;

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> queued = new ArrayList<>();

    SilentUpstream() throws IOException {
        for (int i = 0; i < MAX_QUEUED; i++) {
            Socket socket = new Socket();
            queued.add(socket);
            try {
                socket.connect(
                        new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()),
                        CONNECT_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        throw new IOException("the accept queue could not be filled");
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : queued) {
            socket.close();
        }
    }
}
