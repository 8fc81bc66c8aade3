package appleridge.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What an operator's call comes to, and what is answered.
 *
 * @param serves whether the sidecar can really serve
 * @param figures its figures as text, with an end of line after each
 * @param suspend calls an upstream out; what it gives back has been carried out
 * @param restore calls it back
 * @param keeping runs what it is given when what was carried out is kept, also beyond this process
 */
public record AdminCallHandler(
        BooleanSupplier serves,
        Supplier<String> figures,
        Function<String, MaintenanceOverlay.Effect> suspend,
        Function<String, MaintenanceOverlay.Effect> restore,
        Consumer<Runnable> keeping) {
    private static final String YES = "YES\n";

    /**
     * Answers one line; its effect holds when this returns, and is kept when the answer is given.
     */
    public void to(byte[] line, Consumer<String> answer) {
        AdminCall call = AdminCall.read(line);
        if (call instanceof AdminCall.Status) {
            answer.accept(serves.getAsBoolean() ? YES : no("not ready"));
        } else if (call instanceof AdminCall.Metrics) {
            answer.accept(figures.get());
        } else if (call instanceof AdminCall.Suspend asked) {
            told(suspend.apply(asked.id()), answer);
        } else if (call instanceof AdminCall.Restore asked) {
            told(restore.apply(asked.id()), answer);
        } else {
            answer.accept(no(((AdminCall.Unreadable) call).why()));
        }
    }

    /** No, with the reason in a few words. */
    public static String no(String why) {
        return "NO " + why + "\n";
    }

    private void told(MaintenanceOverlay.Effect effect, Consumer<String> answer) {
        if (effect instanceof MaintenanceOverlay.Denied denied) {
            answer.accept(no(denied.why()));
        } else {
            keeping.accept(() -> answer.accept(YES));
        }
    }
}
