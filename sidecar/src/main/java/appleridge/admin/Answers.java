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
public record Answers(
        BooleanSupplier serves,
        Supplier<String> figures,
        Function<String, Maintenance.Effect> suspend,
        Function<String, Maintenance.Effect> restore,
        Consumer<Runnable> keeping) {
    private static final String YES = "YES\n";

    /**
     * Answers one line; its effect holds when this returns, and is kept when the answer is given.
     */
    public void to(byte[] line, Consumer<String> answer) {
        Call call = Call.read(line);
        if (call instanceof Call.Status) {
            answer.accept(serves.getAsBoolean() ? YES : no("not ready"));
        } else if (call instanceof Call.Metrics) {
            answer.accept(figures.get());
        } else if (call instanceof Call.Suspend asked) {
            told(suspend.apply(asked.id()), answer);
        } else if (call instanceof Call.Restore asked) {
            told(restore.apply(asked.id()), answer);
        } else {
            answer.accept(no(((Call.Unreadable) call).why()));
        }
    }

    /** No, with the reason in a few words. */
    public static String no(String why) {
        return "NO " + why + "\n";
    }

    private void told(Maintenance.Effect effect, Consumer<String> answer) {
        if (effect instanceof Maintenance.Denied denied) {
            answer.accept(no(denied.why()));
        } else {
            keeping.accept(() -> answer.accept(YES));
        }
    }
}
