package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;
import appleridge.lease.store.ZooKeeperLeaseStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

/** Runs {@code java -jar appleridge.jar task --operator FILE --lease NAME -- COMMAND}. */
public final class TaskCommand {
    private static final Path HOST_NAME = Path.of("/proc/sys/kernel/hostname");
    private static final int NONCE_BYTES = 8;
    private static final System.Logger LOG = System.getLogger("appleridge");

    private TaskCommand() {}

    /**
     * Runs the command until its end.
     *
     * @param words the arguments after {@code task}
     * @param readSettings reads the operator's file; throws an {@link IllegalArgumentException}
     *     with a message for the operator if the file is invalid
     * @return the exit status of the process
     */
    public static int run(List<String> words, Function<Path, TaskSettings> readSettings) {
        TaskArguments arguments;
        TaskSettings settings;
        try {
            arguments = TaskArguments.parse(words);
            settings = readSettings.apply(arguments.operator());
        } catch (IllegalArgumentException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.err.print(TaskArguments.usage());
            return TaskExitStatus.USAGE;
        }
        LeaseClock clock =
                LeaseClock.system(settings.parameters().clockGuardNanos(), TaskCommand::log);
        long startedNanos = clock.nanoTime();
        try {
            return run(task(arguments, settings, clock));
        } catch (InterruptedException | IOException e) {
            Duration elapsed = Duration.ofNanos(clock.nanoTime() - startedNanos);
            throw new TaskFailedException(arguments.lease(), elapsed, e);
        }
    }

    private static LeasedTask task(
            TaskArguments arguments, TaskSettings settings, LeaseClock clock) {
        SecureRandom random = new SecureRandom();
        String lease = arguments.lease();
        String holder = hostName() + "/" + ProcessHandle.current().pid();
        String queueIncarnation = nonce(random);
        LeaseClient.StoreFactory stores =
                (events, executor) ->
                        new ZooKeeperLeaseStore(
                                settings.store(),
                                lease,
                                holder,
                                queueIncarnation,
                                events,
                                executor,
                                line -> log("lease " + lease + ": " + line));
        return new LeasedTask(
                settings,
                lease,
                holder,
                arguments.command(),
                clock,
                () -> nonce(random),
                stores,
                TaskCommand::log);
    }

    private static int run(LeasedTask task) throws InterruptedException, IOException {
        CountDownLatch ended = new CountDownLatch(1);
        Runnable onShutdown =
                () -> {
                    if (ended.getCount() > 0) {
                        terminate(task);
                    }
                };
        Runtime.getRuntime().addShutdownHook(new Thread(onShutdown, "terminate"));
        try {
            return task.run();
        } finally {
            ended.countDown();
        }
    }

    /**
     * Called on SIGTERM: as the JVM is exiting, only its shutdown hook can still set the status.
     */
    private static void terminate(LeasedTask task) {
        try {
            Runtime.getRuntime().halt(task.terminate());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void log(String line) {
        LOG.log(System.Logger.Level.INFO, line);
    }

    private static String nonce(SecureRandom random) {
        byte[] bytes = new byte[NONCE_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static String hostName() {
        try {
            return Files.readString(HOST_NAME).strip();
        } catch (IOException e) {
            return "unknown";
        }
    }
}
