package appleridge.daemon;

import appleridge.hotrestart.Overlap;
import appleridge.hotrestart.Phase;
import appleridge.hotrestart.ProcessState;
import appleridge.hotrestart.Word;
import appleridge.hotrestart.file.Slots;
import appleridge.transport.Loop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a process and the others of its sidecar informed of each other. Files are read and written
 * on a thread of their own, and come back to the loop; made only where the platform holds the
 * listening socket.
 */
final class Handover {
    private static final System.Logger LOG = System.getLogger("appleridge");

    /** Between two looks, while there are others, and while there are none. */
    private static final long SOON = TimeUnit.MILLISECONDS.toNanos(25);

    private static final long SELDOM = TimeUnit.MILLISECONDS.toNanos(250);

    private static final String THERE = "another process of this sidecar is there";

    private final Slots slots;
    private final ExecutorService files =
            Executors.newSingleThreadExecutor(
                    work -> {
                        Thread thread = new Thread(work, "handover");
                        thread.setDaemon(true);
                        return thread;
                    });
    private List<ProcessState> others;
    private Phase phase = Phase.STARTING;
    private Overlap overlap;
    private Loop loop;
    private Node node;

    private Handover(Slots slots, List<ProcessState> others) {
        this.slots = slots;
        this.others = others;
        this.overlap = Overlap.of(phase, phases());
    }

    /**
     * Looks for others and tells them of this process; null where the folder can't be used. Blocks.
     */
    static Handover begin(Path folder) {
        try {
            Slots slots = Slots.take(folder, line -> LOG.log(System.Logger.Level.WARNING, line));
            slots.tell(new ProcessState(Phase.STARTING, List.of()));
            return new Handover(slots, slots.others());
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "no word of another process of this sidecar: " + e.getMessage());
            return null;
        }
    }

    Overlap overlap() {
        return overlap;
    }

    /** Whether another process has been here before this one, and lives. */
    boolean isBesideAnother() {
        return !others.isEmpty();
    }

    /** What operators have told the others. */
    List<Word> words() {
        List<Word> words = new ArrayList<>();
        others.forEach(other -> words.addAll(other.words()));
        return words;
    }

    /** From here on used on the loop alone. */
    void attach(Loop its, Node sidecar) {
        loop = its;
        node = sidecar;
        node.share(overlap);
        if (isBesideAnother()) {
            loop.log().news(THERE);
        }
        loop.after(SOON, this::look);
    }

    private void look() {
        files.execute(
                () -> {
                    try {
                        List<ProcessState> found = slots.others();
                        loop.soon(() -> heard(found));
                    } catch (IOException | RuntimeException e) {
                        loop.soon(() -> heard(List.of()));
                    }
                });
    }

    private void heard(List<ProcessState> found) {
        boolean before = isBesideAnother();
        others = found;
        if (before != isBesideAnother()) {
            loop.log().news(before ? "alone again" : THERE);
        }
        settle();
        node.hear(words());
        loop.after(isBesideAnother() ? SOON : SELDOM, this::look);
    }

    private List<Phase> phases() {
        return others.stream().map(ProcessState::phase).toList();
    }

    private void settle() {
        Overlap next = Overlap.of(phase, phases());
        if (!next.equals(overlap)) {
            overlap = next;
            node.share(overlap);
        }
    }

    /** This process has come so far. */
    void phase(Phase now) {
        phase = now;
        settle();
        tell(() -> {});
    }

    /**
     * Runs something once what operators have said is where the others read it, and they have had
     * the time to. Danger: a yes that only this process knows of is broken by the other one.
     */
    void keep(Runnable then) {
        tell(
                () -> {
                    if (isBesideAnother()) {
                        loop.after(3 * SOON, then);
                    } else {
                        then.run();
                    }
                });
    }

    private void tell(Runnable then) {
        ProcessState state = new ProcessState(phase, node.words());
        files.execute(
                () -> {
                    try {
                        slots.tell(state);
                    } catch (IOException | RuntimeException e) {
                        loop.soon(
                                () ->
                                        loop.log()
                                                .warning(
                                                        "the other process can't be told: "
                                                                + e.getMessage()));
                    }
                    loop.soon(then);
                });
    }
}
