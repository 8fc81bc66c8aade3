package appleridge.daemon;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends the JVM where no one handles it. The API for it is the JVM's own, supported
 * for want of another one, and used here alone; by reflection, since its use can't be compiled
 * without a warning.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs what is given on a thread of the JVM's at each SIGHUP, in place of ending. Danger: where
     * whoever started the process ignores the signal, as {@code nohup} does, the JVM leaves it so
     * without a word, and no signal ever arrives.
     *
     * @return whether SIGHUP can arrive
     */
    static boolean handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handles =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    handles);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be handled on this JVM", e);
        }
    }
}
