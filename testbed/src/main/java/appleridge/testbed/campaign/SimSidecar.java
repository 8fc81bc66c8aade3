package appleridge.testbed.campaign;

import appleridge.config.SidecarConfig;
import appleridge.daemon.RuntimeOptions;
import appleridge.daemon.Sidecar;
import appleridge.discovery.UpstreamIds;
import appleridge.http1.BufferLimits;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.testbed.invariants.BufferCounts;
import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.invariants.ResourceCounts;
import appleridge.testbed.invariants.Span;
import appleridge.testbed.invariants.WriteBacklogCounts;
import appleridge.testbed.simnet.SimLoop;
import appleridge.testbed.simnet.Simulation;
import appleridge.testbed.simulation.Ensemble;
import appleridge.testbed.simulation.SidecarHost;
import appleridge.testbed.simulation.Site;
import appleridge.transport.SidecarEventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The product itself as the sidecar behind one name: its own parts, on a loop and sockets of the
 * simulation.
 */
final class SimSidecar implements SidecarHost {
    private static final long MILLI = 1_000_000;

    private final Simulation simulation;
    private final DayListener evidence;
    private final Supplier<Ensemble> ensemble;
    private final BufferLimits bufferLimits;
    private final List<String> escaped = new ArrayList<>();

    /** Ids of upstreams by the numbers that they have here. */
    private final Map<Long, String> names = new HashMap<>();

    private long wallOffset;
    private SimLoop loop;
    private Sidecar node;
    private SidecarConfig config;
    private Runnable ending;

    /**
     * @param ensemble the coordination service; null on a day without
     * @param bufferLimits the limits of what the sidecar buffers
     */
    SimSidecar(
            Simulation simulation,
            DayListener evidence,
            Supplier<Ensemble> ensemble,
            BufferLimits bufferLimits) {
        this.bufferLimits = bufferLimits;
        this.simulation = simulation;
        this.evidence = evidence;
        this.ensemble = ensemble;
    }

    /** Discovery lists an upstream; the product's number for it follows from its id. */
    void listed(String uid) {
        names.putIfAbsent(UpstreamIds.hash(uid), uid);
    }

    @Override
    public void start(Process process) {
        config = parse(process.config());
        loop =
                new SimLoop(
                        simulation,
                        process.host(),
                        process.chance(),
                        new SimLoop.Costs(
                                process.costs().task(),
                                process.costs().read(),
                                process.costs().clock()));
        SimLoop own = loop;
        loop.execute(
                () -> {
                    SidecarEventLoop time =
                            new SidecarEventLoop(
                                    own,
                                    () -> Site.EPOCH_MILLIS + (own.localNow() + wallOffset) / MILLI,
                                    new SimLog(simulation, process.name(), escaped),
                                    new SimLoopActivity(own));
                    RuntimeOptions limited = RuntimeOptions.DEFAULTS.withBufferLimits(bufferLimits);
                    RuntimeOptions tuning =
                            ensemble.get() == null
                                    ? limited
                                    : limited.withDiscovery(
                                            new SimNodes(ensemble.get(), process.name()));
                    node =
                            new Sidecar(
                                    time,
                                    new SimSockets(own),
                                    config,
                                    tuning,
                                    (settings, seed, actions) -> {
                                        WitnessedActions witnessed =
                                                new WitnessedActions(
                                                        process.name(),
                                                        process.life(),
                                                        evidence,
                                                        number -> names.getOrDefault(number, ""),
                                                        actions);
                                        return new WitnessedModule(
                                                process.name(),
                                                process.life(),
                                                evidence,
                                                number -> names.getOrDefault(number, ""),
                                                simulation,
                                                new SymmetricRoundRobinPolicy(
                                                        settings, seed, witnessed));
                                    });
                    node.listening()
                            .addListener(
                                    done -> {
                                        if (done.isSuccess()) {
                                            node.markWarmedUp();
                                        } else {
                                            end();
                                            process.exited().accept(1);
                                        }
                                    });
                    ending =
                            () -> {
                                end();
                                process.exited().accept(0);
                            };
                });
    }

    private static SidecarConfig parse(String text) {
        try {
            return SidecarConfig.parse(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void kill() {
        end();
    }

    private void end() {
        for (Throwable each : loop.uncaughtExceptions()) {
            escaped.add(String.valueOf(each));
        }
        if (loop.foreignThreadCall() != null) {
            escaped.add(String.valueOf(loop.foreignThreadCall()));
        }
        loop.die();
    }

    @Override
    public void term() {
        loop.execute(() -> node.drain(ending));
    }

    @Override
    public void hup(String text) {
        loop.execute(() -> node.switchRegistry(parse(text).registryAddress()));
    }

    @Override
    public void pause(long nanos) {
        loop.pause(nanos);
    }

    @Override
    public void stepWall(long nanos) {
        wallOffset += nanos;
    }

    /** Whiles in which the loop of the present process was busy throughout. */
    List<Span> busy() {
        return loop.busyPeriods().stream()
                .map(each -> new Span(each.from(), each.until()))
                .toList();
    }

    /** Whether a process runs and has begun. */
    boolean isRunning() {
        return loop != null && !loop.isDead() && node != null;
    }

    /** What is buffered now. */
    BufferCounts buffers() {
        return new BufferCounts(
                node.bufferedBytes(), bufferLimits.requestBytes() + bufferLimits.responseBytes());
    }

    /** What is written now and not in the sockets. */
    WriteBacklogCounts writeBacklogs() {
        return new WriteBacklogCounts(
                node.unreadBytes(),
                bufferLimits.unreadBytes(),
                node.unsentBytes(),
                bufferLimits.unsentBytes());
    }

    /** What is open now. */
    ResourceCounts books() {
        List<String> failures = new ArrayList<>(escaped);
        if (!loop.isDead()) {
            loop.uncaughtExceptions().forEach(each -> failures.add(String.valueOf(each)));
        }
        appleridge.request.InFlightCounts own = node.inFlightCounts();
        return new ResourceCounts(
                own.openRequests() + own.requestIds() + own.trackedRequests(),
                own.openAttempts(),
                node.clientConnectionCount(),
                node.upstreamConnectionCount(),
                loop.pendingTimers(),
                loop.usedMemory() + node.bufferedBytes(),
                failures);
    }

    /** Ends what still runs when the day is over. */
    void close() {
        if (loop != null && !loop.isDead()) {
            loop.die();
        }
    }
}
