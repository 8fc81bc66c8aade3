package appleridge.daemon;

import appleridge.admin.AdminCallHandler;
import appleridge.admin.MaintenanceOverlay;
import appleridge.admin.OpenMetricsReport;
import appleridge.admin.protocol.AdminServer;
import appleridge.config.SidecarConfig;
import appleridge.discovery.EndpointTable;
import appleridge.hotrestart.MaintenanceDirective;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import java.util.List;
import java.util.function.Consumer;

/** What operators may ask of one sidecar, put together; made only where they have a way to ask. */
final class AdminService {
    private final SidecarEventLoop loop;
    private final MaintenanceOverlay maintenance;
    private final AdminServer line;
    private final Consumer<EndpointTable.EndpointUpdate> told;

    /** With who is told what an operator's word makes of the list, and what keeps such words. */
    AdminService(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            UpstreamCluster service,
            Consumer<EndpointTable.EndpointUpdate> told,
            Consumer<Runnable> keeping) {
        this.loop = loop;
        this.told = told;
        this.maintenance =
                new MaintenanceOverlay(config.settings().safetyLimits().slowStartWindowNanos());
        OpenMetricsReport figures =
                new OpenMetricsReport(config.requestClassNames())
                        .gauge(
                                "requests_open",
                                () -> service.exchanges.inFlightCounts().openRequests())
                        .gauge(
                                "attempts_out",
                                () -> service.exchanges.inFlightCounts().openAttempts())
                        .gauge("client_connections", service.server::connections)
                        .gauge("upstream_connections", service.pool::connections)
                        .gauge("upstreams_ready", service.exchanges::readyHostCount)
                        .gauge("upstreams_suspended", () -> maintenance.out().size())
                        .gauge("event_loop_turns", loop::turns)
                        .gauge("event_loop_events", service.exchanges::eventCount)
                        .gauge("event_loop_stalls", service.server.monitor()::stalls)
                        .gauge("event_loop_spins", service.server.monitor()::spins)
                        .gauge(
                                "event_loop_longest_lag_milliseconds",
                                service.server.monitor()::longestLagMillis)
                        .gauge("client_checks_after_stalls", service.exchanges::clientCheckCount)
                        .gauge("accept_gate_changes", service.server::acceptGateChanges)
                        .gauge("heap_used_bytes", AdminService::heapUsed);
        service.exchanges.metrics(figures);
        this.line =
                new AdminServer(
                        loop,
                        sockets,
                        config.adminAddress().orElseThrow(),
                        new AdminCallHandler(
                                service.server::ready,
                                figures::text,
                                this::suspend,
                                this::restore,
                                keeping));
        line.open();
    }

    private static long heapUsed() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    EndpointTable.EndpointUpdate over(EndpointTable.EndpointUpdate news) {
        return maintenance.over(news, loop.nanoTime());
    }

    private MaintenanceOverlay.Effect suspend(String id) {
        return carriedOut(
                "suspended by an operator: " + id, maintenance.suspend(id, loop.nanoTime()));
    }

    private MaintenanceOverlay.Effect restore(String id) {
        return carriedOut(
                "restored by an operator: " + id, maintenance.restore(id, loop.nanoTime()));
    }

    private MaintenanceOverlay.Effect carriedOut(String what, MaintenanceOverlay.Effect effect) {
        if (effect instanceof MaintenanceOverlay.Done done && done.news() != null) {
            loop.log().info(what);
            told.accept(done.news());
        }
        return effect;
    }

    /** What operators have told another process of this sidecar. */
    void hear(List<MaintenanceDirective> words) {
        maintenance.hear(words, loop.nanoTime()).forEach(told);
    }

    List<MaintenanceDirective> words() {
        return maintenance.words();
    }

    void close() {
        line.close();
    }
}
