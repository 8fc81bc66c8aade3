package appleridge.daemon;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a JVM that does not handle it. The API for it is the JVM's own, supported for
 * want of another, and used here alone; by reflection, for its use can't be compiled without a
 * warning.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs an action on a thread of the JVM's at each SIGHUP, instead of ending. Where the process
     * that started this one ignores the signal, as {@code nohup} does, the JVM silently leaves it
     * ignored, and none ever arrives.
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
