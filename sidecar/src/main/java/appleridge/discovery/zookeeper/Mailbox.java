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
 * What has been heard on the client's threads and not yet been told on the loop, in order. Bounded
 * however long the loop stands still: of a node the last word is kept, and that it was gone; of all
 * else the last of each sort, once there is much of it.
 */
final class Mailbox {
    /** Changes of nodes that are told in one turn of the loop. */
    private static final int TURN = 200;

    /** Parts that are kept before older ones give way to newer ones of their sort. */
    private static final int MOST_PARTS = 32;

    private enum Sort {
        SESSION,
        DOUBT,
        SNAPSHOT,
        ACCEPT,
        CONFIRMED,
        NODES
    }

    /** What happened to one node; times are those of being told, and 0 where it did not happen. */
    private static final class Change {
        long gone;
        long goneTold;
        long changed;
        long changedTold;
        NodeRead read;
    }

    private record Part(Sort sort, Runnable tell, Map<String, Change> changes) {}

    private final SidecarEventLoop loop;
    private final SessionListener hearer;
    private Deque<Part> parts = new ArrayDeque<>();
    private boolean hopping;

    Mailbox(SidecarEventLoop loop, SessionListener hearer) {
        this.loop = loop;
        this.hearer = hearer;
    }

    void session(SessionState state) {
        add(Sort.SESSION, () -> hearer.session(loop.nanoTime(), state));
    }

    void doubt(StalenessCause why) {
        add(Sort.DOUBT, () -> hearer.doubt(loop.nanoTime(), why));
    }

    void accept() {
        add(Sort.ACCEPT, () -> hearer.accept(loop.nanoTime()));
    }

    void confirmed(Runnable heard) {
        add(Sort.CONFIRMED, heard);
    }

    void snapshot(long told, long zxid, Map<String, NodeRead> nodes, Runnable after) {
        add(
                Sort.SNAPSHOT,
                () -> {
                    hearer.snapshot(loop.nanoTime(), told, zxid, nodes);
                    after.run();
                });
    }

    synchronized void changed(long told, long zxid, String name) {
        Change change = change(name);
        change.changedTold = change.changed == 0 ? told : change.changedTold;
        change.changed = zxid;
        hop();
    }

    synchronized void gone(long told, long zxid, String name) {
        Change change = change(name);
        change.goneTold = change.gone == 0 ? told : change.goneTold;
        change.gone = zxid;
        change.changed = 0;
        change.read = null;
        hop();
    }

    synchronized void read(String name, NodeRead read) {
        change(name).read = read;
        hop();
    }

    /** Tells all that waits, before this returns. On the loop. */
    void tellNow() {
        while (tell()) {
            // A part a turn.
        }
    }

    private Change change(String name) {
        Part last = parts.peekLast();
        if (last == null || last.sort != Sort.NODES) {
            last = new Part(Sort.NODES, null, new LinkedHashMap<>());
            parts.add(last);
        }
        return last.changes.computeIfAbsent(name, any -> new Change());
    }

    private synchronized void add(Sort sort, Runnable tell) {
        parts.add(new Part(sort, tell, null));
        if (parts.size() > MOST_PARTS) {
            thin();
        }
        hop();
    }

    private void thin() {
        Set<Sort> later = EnumSet.noneOf(Sort.class);
        Deque<Part> kept = new ArrayDeque<>();
        for (Iterator<Part> each = parts.descendingIterator(); each.hasNext(); ) {
            Part part = each.next();
            if (part.sort != Sort.NODES) {
                if (later.add(part.sort)) {
                    kept.addFirst(part);
                }
            } else if (!kept.isEmpty() && kept.peekFirst().sort == Sort.NODES) {
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
        if (then.gone == 0) {
            then.gone = first.gone;
            then.goneTold = first.goneTold;
            if (first.changed != 0) {
                then.changedTold = first.changedTold;
                then.changed = Math.max(first.changed, then.changed);
            }
            then.read = then.read == null ? first.read : then.read;
        } else if (first.gone != 0) {
            then.goneTold = first.goneTold;
        }
        return then;
    }

    private void hop() {
        if (!hopping) {
            hopping = true;
            try {
                loop.execute(this::turn);
            } catch (RejectedExecutionException e) {
                // The loop has ended; nobody is left to tell.
                parts.clear();
            }
        }
    }

    private void turn() {
        synchronized (this) {
            hopping = false;
        }
        if (tell()) {
            synchronized (this) {
                hop();
            }
        }
    }

    /** Tells what one turn of the loop has time for; whether more waits. */
    private boolean tell() {
        Runnable tell = null;
        List<Map.Entry<String, Change>> changes = new ArrayList<>();
        synchronized (this) {
            Part first = parts.peekFirst();
            if (first == null) {
                return false;
            }
            if (first.sort == Sort.NODES) {
                Iterator<Map.Entry<String, Change>> each = first.changes.entrySet().iterator();
                while (each.hasNext() && changes.size() < TURN) {
                    Map.Entry<String, Change> next = each.next();
                    changes.add(Map.entry(next.getKey(), next.getValue()));
                    each.remove();
                }
                if (first.changes.isEmpty()) {
                    parts.removeFirst();
                }
            } else {
                tell = first.tell;
                parts.removeFirst();
            }
        }
        if (tell != null) {
            tell.run();
        }
        changes.forEach(each -> tell(each.getKey(), each.getValue()));
        synchronized (this) {
            return !parts.isEmpty();
        }
    }

    private void tell(String name, Change change) {
        if (change.gone != 0) {
            hearer.gone(loop.nanoTime(), change.goneTold, change.gone, name);
        }
        if (change.changed != 0) {
            hearer.changed(loop.nanoTime(), change.changedTold, change.changed, name);
        }
        if (change.read != null) {
            hearer.read(loop.nanoTime(), name, change.read);
        }
    }
}
