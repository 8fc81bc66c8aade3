package appleridge.daemon;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which ends a JVM that has no handler for it. Uses {@code sun.misc.Signal}, which
 * the JDK supports because there is no public replacement; by reflection, because direct use can't
 * be compiled without a warning. No other class uses it.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs an action at each SIGHUP, on a thread of the JVM. If the process was started with the
     * signal ignored, as by {@code nohup}, the JVM silently leaves it ignored and the action never
     * runs.
     *
     * @return whether SIGHUP can arrive
     * @throws IllegalStateException if the JVM has no such API
     */
    static boolean handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object previousHandler =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    handlerProxy);
            return previousHandler != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be handled on this JVM", e);
        }
    }
}
