package appleridge.operators;

import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What an operator's call comes to, and what is answered.
 *
 * @param serves whether the sidecar can really serve
 * @param figures its figures as text, with an end of line after each
 * @param suspend calls an upstream out; what it gives back has been carried out
 * @param restore calls it back
 */
public record Answers(BooleanSupplier serves, Supplier<String> figures,
        Function<String, Maintenance.Effect> suspend, Function<String, Maintenance.Effect> restore) {
    private static final String YES = "YES\n";

    /** The answer to one line; its effect holds when this returns. */
    public String to(byte[] line) {
        Call call = Call.read(line);
        if (call instanceof Call.Status) {
            return serves.getAsBoolean() ? YES : no("not ready");
        }
        if (call instanceof Call.Metrics) {
            return figures.get();
        }
        if (call instanceof Call.Suspend asked) {
            return told(suspend.apply(asked.id()));
        }
        if (call instanceof Call.Restore asked) {
            return told(restore.apply(asked.id()));
        }
        return no(((Call.Unreadable) call).why());
    }

    /** No, with the reason in a few words. */
    public static String no(String why) {
        return "NO " + why + "\n";
    }

    private static String told(Maintenance.Effect effect) {
        return effect instanceof Maintenance.Denied denied ? no(denied.why()) : YES;
    }
}
