import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** HTTP/1.1 on plain sockets, no more than the stand-ins need. */
final class Http {
    private Http() {}

    static final class Message {
        String first;
        int status;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static Connection connect(int port, int millis) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), millis);
        return new Connection(socket);
    }

    static final class Connection implements Closeable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        /** Whether the first line of the message that is read has come. */
        boolean began;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c; (c = in.read()) != '\n'; ) {
                if (c < 0) {
                    throw new EOFException("the connection ended");
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }

        /** Reads one message; 0 waits without a limit. */
        Message read(int millis) throws IOException {
            socket.setSoTimeout(millis);
            Message message = new Message();
            began = false;
            message.first = line();
            began = true;
            if (message.first.startsWith("HTTP/")) {
                message.status = Integer.parseInt(message.first.split(" ")[1]);
            }
            for (String line; !(line = line()).isEmpty(); ) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                for (int size; (size = Integer.parseInt(line().trim(), 16)) > 0; ) {
                    whole.write(exactly(size));
                    line();
                }
                line();
                message.body = whole.toByteArray();
            } else if (!message.header("content-length").isEmpty()) {
                message.body = exactly(Integer.parseInt(message.header("content-length")));
            }
            return message;
        }

        private byte[] exactly(int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new EOFException("the connection ended in a body");
            }
            return bytes;
        }

        /** Ends the connection with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // it has ended
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // it has ended
            }
        }
    }

    static String request(String id, String requestClass, String deadline, String key, int bodyBytes) {
        boolean get = requestClass.equals("stock-check");
        return (get ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Tenant: cycles-moris\r\nX-Deadline: " + deadline + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (get ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n" + "x".repeat(get ? 0 : bodyBytes);
    }

    static String id() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }
}
