package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import appleridge.transport.SidecarEventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;

/**
 * Passes what arrives on the client's threads to the event loop, in order. Bounded even while the
 * loop is stalled: per node only its last change and its last deletion are kept, and once there are
 * many parts, only the last part of each other kind. Methods may be called on any thread.
 */
final class Mailbox {
    /** Bound on the changed nodes delivered in one turn of the loop. */
    private static final int MAX_CHANGES_PER_TURN = 200;

    /** Number of parts above which older parts are dropped for newer ones of their kind. */
    private static final int MAX_PARTS = 32;

    private enum PartKind {
        SESSION,
        STALE,
        SNAPSHOT,
        ACCEPT,
        CONFIRMED,
        NODES
    }

    /** Changes of one node: transactions and times of notification; 0 if there was none. */
    private static final class Change {
        long deletedZxid;
        long deletionNotifiedNanos;
        long changedZxid;
        long changeNotifiedNanos;
        NodeRead read;
    }

    /** Deliveries that are kept in order with others: one call, or the changes of nodes. */
    private record Part(PartKind kind, Runnable delivery, Map<String, Change> changes) {}

    private final SidecarEventLoop loop;
    private final SessionListener listener;
    private Deque<Part> parts = new ArrayDeque<>();
    private boolean scheduled;

    Mailbox(SidecarEventLoop loop, SessionListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    void session(SessionState state) {
        add(PartKind.SESSION, () -> listener.onSessionState(loop.nanoTime(), state));
    }

    void stale(StalenessCause cause) {
        add(PartKind.STALE, () -> listener.onStale(loop.nanoTime(), cause));
    }

    void accept() {
        add(PartKind.ACCEPT, () -> listener.onAccepted(loop.nanoTime()));
    }

    void confirmed(Runnable action) {
        add(PartKind.CONFIRMED, action);
    }

    /** {@code after}: runs after the delivery. */
    void snapshot(long asOfNanos, long zxid, Map<String, NodeRead> nodes, Runnable after) {
        add(
                PartKind.SNAPSHOT,
                () -> {
                    listener.onSnapshot(loop.nanoTime(), asOfNanos, zxid, nodes);
                    after.run();
                });
    }

    synchronized void changed(long notifiedNanos, long zxid, String name) {
        Change change = change(name);
        change.changeNotifiedNanos =
                change.changedZxid == 0 ? notifiedNanos : change.changeNotifiedNanos;
        change.changedZxid = zxid;
        schedule();
    }

    synchronized void deleted(long notifiedNanos, long zxid, String name) {
        Change change = change(name);
        change.deletionNotifiedNanos =
                change.deletedZxid == 0 ? notifiedNanos : change.deletionNotifiedNanos;
        change.deletedZxid = zxid;
        change.changedZxid = 0;
        change.read = null;
        schedule();
    }

    synchronized void read(String name, NodeRead read) {
        change(name).read = read;
        schedule();
    }

    /** Delivers all parts before this method returns. Must be called on the loop. */
    void deliverAll() {
        while (deliver()) {
            // Each call delivers one part.
        }
    }

    private Change change(String name) {
        Part last = parts.peekLast();
        if (last == null || last.kind != PartKind.NODES) {
            last = new Part(PartKind.NODES, null, new LinkedHashMap<>());
            parts.add(last);
        }
        return last.changes.computeIfAbsent(name, any -> new Change());
    }

    private synchronized void add(PartKind kind, Runnable delivery) {
        parts.add(new Part(kind, delivery, null));
        if (parts.size() > MAX_PARTS) {
            compact();
        }
        schedule();
    }

    /** Keeps the last part of each kind, and merges changes of nodes that become adjacent. */
    private void compact() {
        Set<PartKind> later = EnumSet.noneOf(PartKind.class);
        Deque<Part> kept = new ArrayDeque<>();
        for (Iterator<Part> each = parts.descendingIterator(); each.hasNext(); ) {
            Part part = each.next();
            if (part.kind != PartKind.NODES) {
                if (later.add(part.kind)) {
                    kept.addFirst(part);
                }
            } else if (!kept.isEmpty() && kept.peekFirst().kind == PartKind.NODES) {
                kept.addFirst(merged(part, kept.removeFirst()));
            } else {
                kept.addFirst(part);
            }
        }
        parts = kept;
    }

    private static Part merged(Part first, Part then) {
        then.changes.forEach((name, change) -> first.changes.merge(name, change, Mailbox::merged));
        return first;
    }

    private static Change merged(Change first, Change then) {
        if (then.deletedZxid == 0) {
            then.deletedZxid = first.deletedZxid;
            then.deletionNotifiedNanos = first.deletionNotifiedNanos;
            if (first.changedZxid != 0) {
                then.changeNotifiedNanos = first.changeNotifiedNanos;
                then.changedZxid = Math.max(first.changedZxid, then.changedZxid);
            }
            then.read = then.read == null ? first.read : then.read;
        } else if (first.deletedZxid != 0) {
            then.deletionNotifiedNanos = first.deletionNotifiedNanos;
        }
        return then;
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            try {
                loop.execute(this::runTurn);
            } catch (RejectedExecutionException e) {
                // The loop has ended; nobody is left to be notified.
                parts.clear();
            }
        }
    }

    private void runTurn() {
        synchronized (this) {
            scheduled = false;
        }
        if (deliver()) {
            synchronized (this) {
                schedule();
            }
        }
    }

    /** Delivers the first part, or as many of its changes as fit a turn; whether more remain. */
    private boolean deliver() {
        Runnable delivery = null;
        List<Map.Entry<String, Change>> changes = new ArrayList<>();
        synchronized (this) {
            Part first = parts.peekFirst();
            if (first == null) {
                return false;
            }
            if (first.kind == PartKind.NODES) {
                Iterator<Map.Entry<String, Change>> each = first.changes.entrySet().iterator();
                while (each.hasNext() && changes.size() < MAX_CHANGES_PER_TURN) {
                    Map.Entry<String, Change> next = each.next();
                    changes.add(Map.entry(next.getKey(), next.getValue()));
                    each.remove();
                }
                if (first.changes.isEmpty()) {
                    parts.removeFirst();
                }
            } else {
                delivery = first.delivery;
                parts.removeFirst();
            }
        }
        if (delivery != null) {
            delivery.run();
        }
        changes.forEach(each -> deliver(each.getKey(), each.getValue()));
        synchronized (this) {
            return !parts.isEmpty();
        }
    }

    private void deliver(String name, Change change) {
        if (change.deletedZxid != 0) {
            listener.onNodeDeleted(
                    loop.nanoTime(), change.deletionNotifiedNanos, change.deletedZxid, name);
        }
        if (change.changedZxid != 0) {
            listener.onNodeChanged(
                    loop.nanoTime(), change.changeNotifiedNanos, change.changedZxid, name);
        }
        if (change.read != null) {
            listener.onNodeRead(loop.nanoTime(), name, change.read);
        }
    }
}
