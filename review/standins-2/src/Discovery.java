import java.io.*;
import java.net.*;
import java.util.*;

/** Discovery that is asked: whole lists and watches, as the protocol page says. It can be down. */
final class Discovery {
    private final Rig rig;
    private final ServerSocket socket;
    private final Map<String, Rig.Target> targets = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();
    private final Set<Http.Connection> open = new HashSet<>();
    private long rev = 1;
    private boolean down;
    private boolean silent;
    private int refusedCalls;

    Discovery(Rig rig, Collection<Rig.Target> initial) throws IOException {
        this.rig = rig;
        socket = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        for (Rig.Target target : initial) {
            targets.put(target.uid(), target);
            changedAt.put(target.uid(), rev);
        }
        Rig.daemon("discovery", this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    synchronized String known() {
        return Rig.list(rev, true, targets.values());
    }

    synchronized void set(Rig.Target target) {
        rev++;
        targets.put(target.uid(), target);
        changedAt.put(target.uid(), rev);
        rig.note("discovery has " + target.uid() + " " + target.state() + ", rev " + rev);
        notifyAll();
    }

    /** Goes down: watches end, and calls end with a reset. Or comes back. */
    synchronized void setDown(boolean isDown) {
        down = isDown;
        rig.note("discovery is " + (isDown ? "down" : "back"));
        if (isDown) {
            open.forEach(Http.Connection::reset);
            open.clear();
        }
        notifyAll();
    }

    /** An agent is silent while discovery is down: it takes calls and answers none of them. */
    synchronized void setSilent(boolean isSilent) {
        silent = isSilent;
        rig.note("the agent is " + (isSilent ? "silent" : "back"));
        notifyAll();
    }

    synchronized int refusedCalls() {
        return refusedCalls;
    }

    private void accept() {
        while (true) {
            try {
                Http.Connection connection = new Http.Connection(socket.accept());
                Rig.daemon("discovery-call", () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Http.Connection connection) {
        synchronized (this) {
            if (down) {
                refusedCalls++;
                rig.log("discovery refuses a call: it is down");
                notifyAll();
                connection.reset();
                return;
            }
            open.add(connection);
        }
        try {
            while (true) {
                String uri = connection.read(0).first.split(" ")[1];
                String answer = answer(uri);
                if (answer == null) {
                    connection.reset();
                    return;
                }
                rig.log("discovery answers " + uri + ": " + answer);
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
            }
        } catch (IOException | InterruptedException e) {
            connection.close();
        } finally {
            synchronized (this) {
                open.remove(connection);
            }
        }
    }

    private synchronized String answer(String uri) throws InterruptedException {
        int query = uri.indexOf('?');
        while (silent) {
            rig.log("the agent is silent at " + uri);
            wait();
        }
        if (query < 0) {
            return down ? null : known();
        }
        long since = 0;
        long timeout = 0;
        for (String pair : uri.substring(query + 1).split("&")) {
            long value = Long.parseLong(pair.substring(pair.indexOf('=') + 1));
            if (pair.startsWith("since=")) {
                since = value;
            } else if (pair.startsWith("timeout_ms=")) {
                timeout = Math.min(60_000, value);
            }
        }
        long until = System.nanoTime() + timeout * 1_000_000;
        while (!down && (silent || rev <= since) && (silent || System.nanoTime() < until)) {
            wait(silent ? 0 : Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        if (down) {
            return null;
        }
        List<Rig.Target> changes = new ArrayList<>();
        for (Rig.Target target : targets.values()) {
            if (changedAt.get(target.uid()) > since) {
                changes.add(target);
            }
        }
        return Rig.list(rev, false, changes);
    }
}
