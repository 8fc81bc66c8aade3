package appleridge.daemon;

import appleridge.hotrestart.MaintenanceDirective;
import appleridge.hotrestart.ProcessPhase;
import appleridge.hotrestart.ProcessState;
import appleridge.hotrestart.ResourceShare;
import appleridge.hotrestart.file.ProcessSlots;
import appleridge.request.RequestCoordinator;
import appleridge.transport.SidecarEventLoop;
import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Hot restart: exchanges phases and maintenance directives between the processes of one sidecar
 * that share a listening socket, and limits the resources that this process uses. Created only if
 * the platform passes the listening socket. Files are read and written on a separate thread, and
 * results are handed back to the event loop. Event loop only from {@link #attach} on.
 */
final class HotRestart {
    private static final System.Logger LOG = System.getLogger("appleridge");

    /** Interval between reads of the state files while another process runs. */
    private static final long POLL_BESIDE_ANOTHER_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    /** Interval between reads while no other process runs. */
    private static final long POLL_ALONE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Poll intervals after which the other processes have read and applied a published state. */
    private static final int POLLS_UNTIL_APPLIED = 3;

    private static final String ANOTHER_PROCESS_RUNS = "another process of this sidecar is there";

    private final ProcessSlots slots;
    private final ExecutorService fileThread =
            Executors.newSingleThreadExecutor(
                    work -> {
                        Thread thread = new Thread(work, "hot-restart");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final LongBuffer ownIdTable;
    private List<LongBuffer> otherIdTables;
    private List<ProcessState> others;
    private ProcessPhase phase = ProcessPhase.STARTING;
    private ResourceShare share;
    private SidecarEventLoop loop;
    private Sidecar sidecar;

    private HotRestart(
            ProcessSlots slots,
            List<ProcessState> others,
            LongBuffer ownIdTable,
            List<LongBuffer> otherIdTables) {
        this.slots = slots;
        this.others = others;
        this.ownIdTable = ownIdTable;
        this.otherIdTables = otherIdTables;
        this.share = ResourceShare.of(phase, otherPhases());
    }

    /**
     * Publishes this process as starting and reads the states of the others. Blocks on file I/O.
     *
     * @return null if the folder can't be used; a warning is logged then
     */
    static HotRestart begin(Path folder) {
        try {
            ProcessSlots slots =
                    ProcessSlots.acquire(
                            folder, line -> LOG.log(System.Logger.Level.WARNING, line));
            slots.publish(new ProcessState(ProcessPhase.STARTING, List.of()));
            LongBuffer ownIdTable = slots.createIdTable(RequestCoordinator.ID_TABLE_ENTRIES);
            return new HotRestart(slots, slots.readOthers(), ownIdTable, slots.readIdTables());
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "hot restart: can't exchange state with other processes in "
                            + folder
                            + ": "
                            + e.getMessage());
            return null;
        }
    }

    ResourceShare share() {
        return share;
    }

    /** Whether another process of this sidecar runs. */
    boolean isBesideAnother() {
        return !others.isEmpty();
    }

    /** Returns the directives that the other processes have published. */
    List<MaintenanceDirective> directives() {
        List<MaintenanceDirective> directives = new ArrayList<>();
        others.forEach(other -> directives.addAll(other.directives()));
        return directives;
    }

    /** Applies the share to the sidecar and begins to poll; from here on event loop only. */
    void attach(SidecarEventLoop eventLoop, Sidecar attachedSidecar) {
        loop = eventLoop;
        sidecar = attachedSidecar;
        sidecar.applyShare(share);
        sidecar.shareExecutedIds(ownIdTable, otherIdTables);
        if (isBesideAnother()) {
            loop.log().info(ANOTHER_PROCESS_RUNS);
        }
        loop.schedule(POLL_BESIDE_ANOTHER_NANOS, this::readOthers);
    }

    private void readOthers() {
        fileThread.execute(
                () -> {
                    try {
                        List<ProcessState> found = slots.readOthers();
                        List<LongBuffer> idTables = slots.readIdTables();
                        loop.execute(() -> onIdTablesRead(idTables));
                        loop.execute(() -> onOthersRead(found));
                    } catch (IOException | RuntimeException e) {
                        loop.execute(() -> onOthersRead(List.of()));
                    }
                });
    }

    private void onIdTablesRead(List<LongBuffer> idTables) {
        otherIdTables = idTables;
        sidecar.shareExecutedIds(ownIdTable, otherIdTables);
    }

    private void onOthersRead(List<ProcessState> found) {
        boolean wasBesideAnother = isBesideAnother();
        others = found;
        if (wasBesideAnother != isBesideAnother()) {
            loop.log().info(wasBesideAnother ? "alone again" : ANOTHER_PROCESS_RUNS);
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
            sidecar.applyShare(share);
        }
    }

    /** Publishes that this process has entered a phase, and adjusts its share. */
    void enterPhase(ProcessPhase newPhase) {
        phase = newPhase;
        updateShare();
        publish(() -> {});
    }

    /**
     * Runs a task once this process's directives are published and the other processes have had
     * time to apply them. If an operator's call were confirmed earlier, another process could still
     * act against it.
     */
    void runWhenPublished(Runnable task) {
        publish(
                () -> {
                    if (isBesideAnother()) {
                        loop.schedule(POLLS_UNTIL_APPLIED * POLL_BESIDE_ANOTHER_NANOS, task);
                    } else {
                        task.run();
                    }
                });
    }

    private void publish(Runnable whenDone) {
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
                                                        "hot restart: can't publish the state of"
                                                                + " this process: "
                                                                + e.getMessage()));
                    }
                    loop.execute(whenDone);
                });
    }
}
