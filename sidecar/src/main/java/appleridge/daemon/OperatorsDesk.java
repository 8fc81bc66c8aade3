package appleridge.daemon;

import appleridge.admin.Answers;
import appleridge.admin.Figures;
import appleridge.admin.Maintenance;
import appleridge.admin.protocol.OperatorsLine;
import appleridge.config.Config;
import appleridge.discovery.Directory;
import appleridge.hotrestart.Word;
import appleridge.transport.Loop;
import appleridge.transport.Sockets;
import java.util.List;
import java.util.function.Consumer;

/** What operators may ask of one sidecar, put together; made only where they have a way to ask. */
final class OperatorsDesk {
    private final Loop loop;
    private final Maintenance maintenance;
    private final OperatorsLine line;
    private final Consumer<Directory.News> told;

    /** With who is told what an operator's word makes of the list, and what keeps such words. */
    OperatorsDesk(
            Loop loop,
            Sockets sockets,
            Config config,
            Service service,
            Consumer<Directory.News> told,
            Consumer<Runnable> keeping) {
        this.loop = loop;
        this.told = told;
        this.maintenance = new Maintenance(config.settings().limits().rampTime());
        Figures figures =
                new Figures(config.classes())
                        .gauge("requests_open", () -> service.exchanges.books().open())
                        .gauge("attempts_out", () -> service.exchanges.books().attempts())
                        .gauge("client_connections", service.server::connections)
                        .gauge("upstream_connections", service.pool::connections)
                        .gauge("upstreams_ready", service.exchanges::ready)
                        .gauge("upstreams_suspended", () -> maintenance.out().size())
                        .gauge("event_loop_turns", loop::turns)
                        .gauge("event_loop_events", service.exchanges::events)
                        .gauge("event_loop_stalls", service.server.monitor()::stalls)
                        .gauge("event_loop_spins", service.server.monitor()::spins)
                        .gauge(
                                "event_loop_longest_lag_milliseconds",
                                service.server.monitor()::longestLagMillis)
                        .gauge("client_checks_after_stalls", service.exchanges::clientChecks)
                        .gauge("accept_gate_changes", service.server::acceptGateChanges)
                        .gauge("heap_used_bytes", OperatorsDesk::heapUsed);
        service.exchanges.tally(figures);
        this.line =
                new OperatorsLine(
                        loop,
                        sockets,
                        config.admin(),
                        new Answers(
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

    Directory.News over(Directory.News news) {
        return maintenance.over(news, loop.now());
    }

    private Maintenance.Effect suspend(String id) {
        return carriedOut("suspended by an operator: " + id, maintenance.suspend(id, loop.now()));
    }

    private Maintenance.Effect restore(String id) {
        return carriedOut("restored by an operator: " + id, maintenance.restore(id, loop.now()));
    }

    private Maintenance.Effect carriedOut(String what, Maintenance.Effect effect) {
        if (effect instanceof Maintenance.Done done && done.news() != null) {
            loop.log().news(what);
            told.accept(done.news());
        }
        return effect;
    }

    /** What operators have told another process of this sidecar. */
    void hear(List<Word> words) {
        maintenance.hear(words, loop.now()).forEach(told);
    }

    List<Word> words() {
        return maintenance.words();
    }

    void close() {
        line.close();
    }
}
