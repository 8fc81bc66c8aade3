package appleridge.daemon;

import appleridge.hotrestart.MaintenanceDirective;
import appleridge.hotrestart.ProcessPhase;
import appleridge.hotrestart.ProcessState;
import appleridge.hotrestart.ResourceShare;
import appleridge.hotrestart.file.ProcessSlots;
import appleridge.transport.SidecarEventLoop;
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
final class HotRestart {
    private static final System.Logger LOG = System.getLogger("appleridge");

    /** Between two looks, while there are others, and while there are none. */
    private static final long SOON = TimeUnit.MILLISECONDS.toNanos(25);

    private static final long SELDOM = TimeUnit.MILLISECONDS.toNanos(250);

    private static final String THERE = "another process of this sidecar is there";

    private final ProcessSlots slots;
    private final ExecutorService files =
            Executors.newSingleThreadExecutor(
                    work -> {
                        Thread thread = new Thread(work, "handover");
                        thread.setDaemon(true);
                        return thread;
                    });
    private List<ProcessState> others;
    private ProcessPhase phase = ProcessPhase.STARTING;
    private ResourceShare overlap;
    private SidecarEventLoop loop;
    private Sidecar node;

    private HotRestart(ProcessSlots slots, List<ProcessState> others) {
        this.slots = slots;
        this.others = others;
        this.overlap = ResourceShare.of(phase, phases());
    }

    /**
     * Looks for others and tells them of this process; null where the folder can't be used. Blocks.
     */
    static HotRestart begin(Path folder) {
        try {
            ProcessSlots slots =
                    ProcessSlots.take(folder, line -> LOG.log(System.Logger.Level.WARNING, line));
            slots.tell(new ProcessState(ProcessPhase.STARTING, List.of()));
            return new HotRestart(slots, slots.others());
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "no word of another process of this sidecar: " + e.getMessage());
            return null;
        }
    }

    ResourceShare overlap() {
        return overlap;
    }

    /** Whether another process has been here before this one, and lives. */
    boolean isBesideAnother() {
        return !others.isEmpty();
    }

    /** What operators have told the others. */
    List<MaintenanceDirective> words() {
        List<MaintenanceDirective> words = new ArrayList<>();
        others.forEach(other -> words.addAll(other.directives()));
        return words;
    }

    /** From here on used on the loop alone. */
    void attach(SidecarEventLoop its, Sidecar sidecar) {
        loop = its;
        node = sidecar;
        node.share(overlap);
        if (isBesideAnother()) {
            loop.log().info(THERE);
        }
        loop.after(SOON, this::look);
    }

    private void look() {
        files.execute(
                () -> {
                    try {
                        List<ProcessState> found = slots.others();
                        loop.execute(() -> heard(found));
                    } catch (IOException | RuntimeException e) {
                        loop.execute(() -> heard(List.of()));
                    }
                });
    }

    private void heard(List<ProcessState> found) {
        boolean before = isBesideAnother();
        others = found;
        if (before != isBesideAnother()) {
            loop.log().info(before ? "alone again" : THERE);
        }
        settle();
        node.hear(words());
        loop.after(isBesideAnother() ? SOON : SELDOM, this::look);
    }

    private List<ProcessPhase> phases() {
        return others.stream().map(ProcessState::phase).toList();
    }

    private void settle() {
        ResourceShare next = ResourceShare.of(phase, phases());
        if (!next.equals(overlap)) {
            overlap = next;
            node.share(overlap);
        }
    }

    /** This process has come so far. */
    void phase(ProcessPhase now) {
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
                        loop.execute(
                                () ->
                                        loop.log()
                                                .warning(
                                                        "the other process can't be told: "
                                                                + e.getMessage()));
                    }
                    loop.execute(then);
                });
    }
}
