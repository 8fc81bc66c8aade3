package review;

/** Threads that don't keep the process alive. */
public final class Threads {
    private Threads() {}

    public interface Task {
        void run() throws Exception;
    }

    public static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        },
                        name,
                        128 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
