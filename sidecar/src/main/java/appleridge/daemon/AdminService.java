package appleridge.daemon;

import appleridge.admin.AdminCallHandler;
import appleridge.admin.MaintenanceOverlay;
import appleridge.admin.OpenMetricsReport;
import appleridge.admin.protocol.AdminServer;
import appleridge.config.SidecarConfig;
import appleridge.discovery.EndpointTable;
import appleridge.hotrestart.MaintenanceDirective;
import appleridge.http1.BufferBudgets;
import appleridge.request.BufferBudget;
import appleridge.request.BufferKind;
import appleridge.request.RequestCoordinator;
import appleridge.transport.EventLoopMonitor;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The admin service of one sidecar: the admin server, the metrics that it reports and the
 * maintenance directives that it takes. Created only if an admin address is configured. Event loop
 * only.
 */
final class AdminService {
    private final SidecarEventLoop loop;
    private final MaintenanceOverlay maintenance;
    private final AdminServer server;
    private final Consumer<EndpointTable.EndpointUpdate> updates;

    /**
     * Opens the admin server.
     *
     * @param updates receives the endpoint updates that result from directives
     * @param whenPublished runs a task once this process's directives are published to the other
     *     processes of its sidecar
     */
    AdminService(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            UpstreamCluster cluster,
            Consumer<EndpointTable.EndpointUpdate> updates,
            Consumer<Runnable> whenPublished) {
        this.loop = loop;
        this.updates = updates;
        this.maintenance =
                new MaintenanceOverlay(config.settings().safetyLimits().slowStartWindowNanos());
        OpenMetricsReport metrics = createMetrics(config, cluster);
        cluster.coordinator.setMetrics(metrics);
        this.server =
                new AdminServer(
                        loop,
                        sockets,
                        config.adminAddress().orElseThrow(),
                        new AdminCallHandler(
                                cluster.listener::isReady,
                                metrics::text,
                                this::suspend,
                                this::restore,
                                whenPublished));
        server.open();
    }

    private OpenMetricsReport createMetrics(SidecarConfig config, UpstreamCluster cluster) {
        RequestCoordinator coordinator = cluster.coordinator;
        EventLoopMonitor monitor = cluster.listener.monitor();
        OpenMetricsReport metrics = new OpenMetricsReport(config.requestClassNames());
        addBufferGauges(metrics, cluster);
        return metrics.gauge("requests_open", () -> coordinator.inFlightCounts().openRequests())
                .gauge("attempts_out", () -> coordinator.inFlightCounts().openAttempts())
                .gauge("client_connections", cluster.listener::connectionCount)
                .gauge("upstream_connections", cluster.connectionPool::connectionCount)
                .gauge("upstreams_ready", coordinator::readyHostCount)
                .gauge("endpoint_list_stale_milliseconds", () -> listStaleMillis(coordinator))
                .gauge("upstreams_suspended", () -> maintenance.suspendedSince().size())
                .gauge("event_loop_turns", loop::turnCount)
                .gauge("event_loop_events", coordinator::eventCount)
                .gauge("event_loop_stalls", monitor::stalls)
                .gauge("event_loop_spins", monitor::spins)
                .gauge("event_loop_longest_lag_milliseconds", monitor::longestLagMillis)
                .gauge("client_checks_after_stalls", coordinator::clientCheckCount)
                .gauge("accept_gate_changes", cluster.listener::acceptGateChanges)
                .gauge("heap_used_bytes", AdminService::heapUsedBytes);
    }

    private static long listStaleMillis(RequestCoordinator coordinator) {
        return TimeUnit.NANOSECONDS.toMillis(coordinator.endpointListStaleNanos());
    }

    private static void addBufferGauges(OpenMetricsReport metrics, UpstreamCluster cluster) {
        BufferBudgets buffers = cluster.buffers;
        for (BufferKind kind : BufferKind.values()) {
            metrics.gauge(
                    "buffered_bytes_" + kind.label(),
                    () -> buffers.requests().usedBytes(kind) + buffers.responses().usedBytes(kind));
        }
        addBudgetGauges(metrics, "request", buffers.requests());
        addBudgetGauges(metrics, "response", buffers.responses());
        metrics.gauge("unread_response_bytes", cluster.listener::unreadBytes)
                .gauge("unsent_request_bytes", cluster.connectionPool::unsentBytes)
                .gauge("direct_memory_bytes", AdminService::directMemoryBytes);
    }

    private static void addBudgetGauges(
            OpenMetricsReport metrics, String prefix, BufferBudget budget) {
        metrics.gauge(prefix + "_buffer_limit_bytes", budget::limitBytes)
                .gauge(prefix + "_buffer_peak_bytes", budget::peakBytes)
                .gauge(prefix + "_buffer_refusals", budget::refusals);
    }

    private static long directMemoryBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }

    private static long heapUsedBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Returns the update with the operators' directives applied. */
    EndpointTable.EndpointUpdate applyMaintenance(EndpointTable.EndpointUpdate update) {
        return maintenance.apply(update, loop.nanoTime());
    }

    private MaintenanceOverlay.Result suspend(String id) {
        return applyResult(
                "suspended by an operator: " + id, maintenance.suspend(id, loop.nanoTime()));
    }

    private MaintenanceOverlay.Result restore(String id) {
        return applyResult(
                "restored by an operator: " + id, maintenance.restore(id, loop.nanoTime()));
    }

    private MaintenanceOverlay.Result applyResult(
            String logLine, MaintenanceOverlay.Result result) {
        if (result instanceof MaintenanceOverlay.Applied applied && applied.update() != null) {
            loop.log().info(logLine);
            updates.accept(applied.update());
        }
        return result;
    }

    /** Applies the directives that other processes of this sidecar have published. */
    void merge(List<MaintenanceDirective> others) {
        maintenance.merge(others, loop.nanoTime()).forEach(updates);
    }

    /** Returns the directives that this process publishes. */
    List<MaintenanceDirective> directives() {
        return maintenance.publishedDirectives();
    }

    void close() {
        server.close();
    }
}
