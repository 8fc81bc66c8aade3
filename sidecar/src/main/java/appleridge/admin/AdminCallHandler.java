package appleridge.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Carries out an operator's call and replies. Event loop only.
 *
 * @param ready whether the sidecar can serve
 * @param metrics the metrics as text, with an end of line after each
 * @param suspend suspends a host; what it returns has been carried out
 * @param restore restores a host; likewise
 * @param whenPublished runs a task when what was carried out is published to the other processes of
 *     this sidecar
 */
public record AdminCallHandler(
        BooleanSupplier ready,
        Supplier<String> metrics,
        Function<String, MaintenanceOverlay.Result> suspend,
        Function<String, MaintenanceOverlay.Result> restore,
        Consumer<Runnable> whenPublished) {
    private static final String POSITIVE = "YES\n";

    /** Handles one line. Its effect holds on return, and is published when the reply is given. */
    public void handle(byte[] line, Consumer<String> reply) {
        AdminCall call = AdminCall.parse(line);
        if (call instanceof AdminCall.Status) {
            reply.accept(ready.getAsBoolean() ? POSITIVE : negative("not ready"));
        } else if (call instanceof AdminCall.Metrics) {
            reply.accept(metrics.get());
        } else if (call instanceof AdminCall.Suspend asked) {
            reply(suspend.apply(asked.id()), reply);
        } else if (call instanceof AdminCall.Restore asked) {
            reply(restore.apply(asked.id()), reply);
        } else {
            reply.accept(negative(((AdminCall.Malformed) call).reason()));
        }
    }

    /** The reply that something was not done, with the reason in a few words. */
    public static String negative(String why) {
        return "NO " + why + "\n";
    }

    private void reply(MaintenanceOverlay.Result effect, Consumer<String> reply) {
        if (effect instanceof MaintenanceOverlay.Rejected denied) {
            reply.accept(negative(denied.reason()));
        } else {
            whenPublished.accept(() -> reply.accept(POSITIVE));
        }
    }
}
