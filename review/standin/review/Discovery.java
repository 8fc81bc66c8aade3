package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery as the protocol page describes it: the whole list, and watches. */
public final class Discovery implements AutoCloseable {
    private static final Pattern SINCE = Pattern.compile("since=(\\d+)");
    private static final Pattern WAIT = Pattern.compile("timeout_ms=(\\d+)");

    private final ServerSocket listener;
    private final Log log;
    private final Map<String, Map<String, Object>> targets = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private int rev = 1;

    public Discovery(Log log) throws IOException {
        this.log = log;
        listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        Threads.start("discovery", this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Adds or changes an entry and answers all watches. */
    public synchronized void put(String uid, int port, String zone, String state, long bootMillis) {
        rev++;
        Map<String, Object> target = new LinkedHashMap<>();
        target.put("uid", uid);
        target.put("endpoint", "127.0.0.1:" + port);
        target.put("az", zone);
        target.put("model", "std-3c");
        target.put("pod_group", 0);
        target.put("state", state);
        target.put("capacity_hint", 1.0);
        target.put("boot_ms", bootMillis);
        targets.put(uid, target);
        changedAt.put(uid, rev);
        log.line("discovery rev=" + rev + " " + uid + " " + state);
        notifyAll();
    }

    /** The whole list, as it stands. */
    public synchronized Map<String, Object> list() {
        return answer(0);
    }

    private Map<String, Object> answer(int since) {
        List<Object> entries = new ArrayList<>();
        targets.forEach(
                (uid, target) -> {
                    boolean gone = target.get("state").equals("Gone");
                    if (changedAt.get(uid) > since && !(gone && since == 0)) {
                        entries.add(target);
                    }
                });
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("rev", rev);
        answer.put("all", since == 0);
        answer.put("targets", entries);
        return answer;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Threads.start("discovery call", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http call = Http.read(in); call != null; call = Http.read(in)) {
                Matcher since = SINCE.matcher(call.startLine());
                Matcher wait = WAIT.matcher(call.startLine());
                Map<String, Object> answer;
                synchronized (this) {
                    int from = since.find() ? Integer.parseInt(since.group(1)) : 0;
                    long until =
                            System.nanoTime()
                                    + (wait.find() ? Long.parseLong(wait.group(1)) : 0) * 1_000_000;
                    while (from > 0 && from >= rev && System.nanoTime() < until) {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                    answer = answer(from);
                }
                log.line("discovery at " + address() + " answers " + call.startLine());
                out.write(
                        Http.bytes(
                                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
                                Json.of(answer).getBytes(StandardCharsets.UTF_8)));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The sidecar has gone.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
