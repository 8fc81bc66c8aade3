package appleridge.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted HTTP server on an ephemeral loopback port, used as an upstream or as the registry. */
public final class StubUpstream implements AutoCloseable {
    /** Handles one request; returns whether the connection stays open. */
    public interface Script {
        public boolean serve(Socket socket, String request)
                throws IOException, InterruptedException;
    }

    /** The requests received, head and body. */
    public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    /** One entry for each connection that the peer has closed. */
    public final BlockingQueue<Boolean> closed = new LinkedBlockingQueue<>();

    public final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Map<String, Long> begunAtNanos = new ConcurrentHashMap<>();
    private final Script script;

    public StubUpstream(Script script) throws IOException {
        this.script = script;
        startDaemon(this::accept);
    }

    /** When each request last began to arrive, by its id, on {@link System#nanoTime}. */
    Map<String, Long> begunAtNanos() {
        return begunAtNanos;
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
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
            // The stub was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (true) {
                String head = readHead(socket.getInputStream());
                if (head == null) {
                    closed.add(true);
                    return;
                }
                String id = header(head, "x-request-id");
                if (id != null) {
                    begunAtNanos.put(id, System.nanoTime());
                }
                String request = head + readBody(socket.getInputStream(), head);
                requests.add(request);
                if (!script.serve(socket, request)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            closed.add(true);
        }
    }

    /** Reads the head and body of one message with a length; null at the end of the stream. */
    public static String readMessage(InputStream in) throws IOException {
        String head = readHead(in);
        return head == null ? null : head + readBody(in, head);
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static String readBody(InputStream in, String head) throws IOException {
        String length = header(head, "content-length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    public static String header(String message, String name) {
        for (String line : message.split("\r\n\r\n", 2)[0].split("\r\n")) {
            if (line.toLowerCase().startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }

    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    public static String response(String status, String body, String... headers) {
        String headerLines = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        return "HTTP/1.1 "
                + status
                + "\r\n"
                + headerLines
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Sends a text for every request and keeps the connection open. */
    public static Script respondWith(String text) {
        return (socket, request) -> {
            write(socket, text);
            return true;
        };
    }

    /** Makes the end of the connection a reset; a script returns the result. */
    public static boolean reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    /** Never responds; {@link #closed} shows when the peer has closed the connection. */
    public static final Script SILENT = (socket, request) -> true;

    /**
     * Runs {@code one} for the first request to any of the stubs that share the latch, and {@code
     * other} for every later one.
     */
    public static Script firstThen(CountDownLatch first, Script one, Script other) {
        return (socket, request) -> {
            boolean isFirst;
            synchronized (first) {
                isFirst = first.getCount() > 0;
                first.countDown();
            }
            return (isFirst ? one : other).serve(socket, request);
        };
    }

    public String nextRequest() throws InterruptedException {
        String request = requests.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request within the time-out");
        }
        return request;
    }

    public void awaitClosed() throws InterruptedException {
        if (closed.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS) == null) {
            throw new AssertionError("the connection was not closed");
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
