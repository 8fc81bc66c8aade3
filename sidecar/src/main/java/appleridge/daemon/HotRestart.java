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
 * Hot restart: lets the processes of one sidecar that share a listening socket know of each other,
 * of their phase and of operators' directives, and limits what this one uses. Made only where the
 * platform holds the listening socket. Files are read and written on a thread of their own, and
 * results come back to the event loop. Event loop only from {@link #attach} on.
 */
final class HotRestart {
    private static final System.Logger LOG = System.getLogger("appleridge");

    /** How often files of others are read while there are others. */
    private static final long POLL_BESIDE_ANOTHER_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    /** How often while there are none. */
    private static final long POLL_ALONE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final String ANOTHER_PROCESS = "another process of this sidecar is there";

    private final ProcessSlots slots;
    private final ExecutorService fileThread =
            Executors.newSingleThreadExecutor(
                    work -> {
                        Thread thread = new Thread(work, "hot-restart");
                        thread.setDaemon(true);
                        return thread;
                    });
    private List<ProcessState> others;
    private ProcessPhase phase = ProcessPhase.STARTING;
    private ResourceShare share;
    private SidecarEventLoop loop;
    private Sidecar sidecar;

    private HotRestart(ProcessSlots slots, List<ProcessState> others) {
        this.slots = slots;
        this.others = others;
        this.share = ResourceShare.of(phase, otherPhases());
    }

    /**
     * Reads which others there are, and publishes this process. Blocks.
     *
     * @return null where the folder can't be used
     */
    static HotRestart begin(Path folder) {
        try {
            ProcessSlots slots =
                    ProcessSlots.acquire(
                            folder, line -> LOG.log(System.Logger.Level.WARNING, line));
            slots.publish(new ProcessState(ProcessPhase.STARTING, List.of()));
            return new HotRestart(slots, slots.readOthers());
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "no word of another process of this sidecar: " + e.getMessage());
            return null;
        }
    }

    ResourceShare share() {
        return share;
    }

    /** Whether another process of this sidecar lives. */
    boolean isBesideAnother() {
        return !others.isEmpty();
    }

    /** What operators have told the others. */
    List<MaintenanceDirective> directives() {
        List<MaintenanceDirective> directives = new ArrayList<>();
        others.forEach(other -> directives.addAll(other.directives()));
        return directives;
    }

    /** From here on used on the loop alone. */
    void attach(SidecarEventLoop itsLoop, Sidecar itsSidecar) {
        loop = itsLoop;
        sidecar = itsSidecar;
        sidecar.share(share);
        if (isBesideAnother()) {
            loop.log().info(ANOTHER_PROCESS);
        }
        loop.schedule(POLL_BESIDE_ANOTHER_NANOS, this::readOthers);
    }

    private void readOthers() {
        fileThread.execute(
                () -> {
                    try {
                        List<ProcessState> found = slots.readOthers();
                        loop.execute(() -> onOthersRead(found));
                    } catch (IOException | RuntimeException e) {
                        loop.execute(() -> onOthersRead(List.of()));
                    }
                });
    }

    private void onOthersRead(List<ProcessState> found) {
        boolean before = isBesideAnother();
        others = found;
        if (before != isBesideAnother()) {
            loop.log().info(before ? "alone again" : ANOTHER_PROCESS);
        }
        updateShare();
        sidecar.mergeDirectives(directives());
        loop.schedule(
                isBesideAnother() ? POLL_BESIDE_ANOTHER_NANOS : POLL_ALONE_NANOS, this::readOthers);
    }

    private List<ProcessPhase> otherPhases() {
        return others.stream().map(ProcessState::phase).toList();
    }

    private void updateShare() {
        ResourceShare next = ResourceShare.of(phase, otherPhases());
        if (!next.equals(share)) {
            share = next;
            sidecar.share(share);
        }
    }

    /** This process has entered a phase. */
    void phase(ProcessPhase now) {
        phase = now;
        updateShare();
        publish(() -> {});
    }

    /**
     * Runs a task once what operators have said is published, and the others have had the time to
     * read it. An operator's call that is confirmed before that would be broken by another process.
     */
    void runWhenPublished(Runnable then) {
        publish(
                () -> {
                    if (isBesideAnother()) {
                        loop.schedule(3 * POLL_BESIDE_ANOTHER_NANOS, then);
                    } else {
                        then.run();
                    }
                });
    }

    private void publish(Runnable then) {
        ProcessState state = new ProcessState(phase, sidecar.directives());
        fileThread.execute(
                () -> {
                    try {
                        slots.publish(state);
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
