package appleridge.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Executes operators' commands and replies to them. Event loop only.
 *
 * @param ready whether the sidecar is ready to serve requests
 * @param metrics the metrics as text, one per line, each line terminated
 * @param suspend suspends a host by id; a result of {@link MaintenanceOverlay.Applied} is already
 *     in effect when it is returned
 * @param restore restores a host by id; its result is in effect likewise
 * @param whenPublished runs a task once the directives in effect have been published to the other
 *     processes of this sidecar
 */
public record AdminCallHandler(
        BooleanSupplier ready,
        Supplier<String> metrics,
        Function<String, MaintenanceOverlay.Result> suspend,
        Function<String, MaintenanceOverlay.Result> restore,
        Consumer<Runnable> whenPublished) {
    private static final String POSITIVE_REPLY = "YES\n";

    /**
     * Executes one line without its terminator. A directive is in effect when this method returns;
     * its positive reply follows once it has been published.
     */
    public void handle(byte[] line, Consumer<String> reply) {
        AdminCall call = AdminCall.parse(line);
        if (call instanceof AdminCall.Status) {
            reply.accept(ready.getAsBoolean() ? POSITIVE_REPLY : negativeReply("not ready"));
        } else if (call instanceof AdminCall.Metrics) {
            reply.accept(metrics.get());
        } else if (call instanceof AdminCall.Suspend command) {
            reply(suspend.apply(command.id()), reply);
        } else if (call instanceof AdminCall.Restore command) {
            reply(restore.apply(command.id()), reply);
        } else {
            reply.accept(negativeReply(((AdminCall.Malformed) call).reason()));
        }
    }

    /** The reply to a command that was not executed, with a short reason. */
    public static String negativeReply(String reason) {
        return "NO " + reason + "\n";
    }

    private void reply(MaintenanceOverlay.Result result, Consumer<String> reply) {
        if (result instanceof MaintenanceOverlay.Rejected rejected) {
            reply.accept(negativeReply(rejected.reason()));
        } else {
            whenPublished.accept(() -> reply.accept(POSITIVE_REPLY));
        }
    }
}
