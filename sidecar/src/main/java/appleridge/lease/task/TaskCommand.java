package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;
import appleridge.lease.store.ZooKeeperLeaseStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.Function;

/** {@code java -jar appleridge.jar task --operator FILE --lease NAME -- COMMAND}. */
public final class TaskCommand {
    /** Exit status where the command makes no sense. */
    public static final int EXIT_USAGE = 2;

    private static final Path HOST = Path.of("/proc/sys/kernel/hostname");
    private static final int NONCE_BYTES = 8;
    private static final System.Logger LOG = System.getLogger("appleridge");

    private TaskCommand() {}

    /**
     * Runs the command; its exit status.
     *
     * @param words what follows the command's name
     * @param read reads what the operator's file says of tasks; throws what is wrong with it
     */
    public static int run(List<String> words, Function<Path, TaskSettings> read) {
        TaskArguments arguments;
        TaskSettings settings;
        try {
            arguments = TaskArguments.parse(words);
            settings = read.apply(arguments.operator());
        } catch (IllegalArgumentException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.err.print(TaskArguments.usage());
            return EXIT_USAGE;
        }
        try {
            return run(arguments, settings);
        } catch (InterruptedException | IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int run(TaskArguments arguments, TaskSettings settings)
            throws InterruptedException, IOException {
        Consumer<String> log = line -> LOG.log(System.Logger.Level.INFO, line);
        SecureRandom chance = new SecureRandom();
        String holder = host() + "/" + ProcessHandle.current().pid();
        String place = nonce(chance);
        LeasedTask task =
                new LeasedTask(
                        settings,
                        arguments.lease(),
                        holder,
                        arguments.command(),
                        LeaseClock.system(settings.parameters().clockGuardNanos(), log),
                        () -> nonce(chance),
                        (events, executor) ->
                                new ZooKeeperLeaseStore(
                                        settings.store(),
                                        arguments.lease(),
                                        holder,
                                        place,
                                        events,
                                        executor,
                                        line ->
                                                log.accept(
                                                        "lease "
                                                                + arguments.lease()
                                                                + ": "
                                                                + line)),
                        log);
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    if (ended.getCount() > 0) {
                                        terminate(task);
                                    }
                                },
                                "terminate"));
        try {
            return task.run();
        } finally {
            ended.countDown();
        }
    }

    /** Danger: the JVM is ending already, and only its hook can still set the status. */
    private static void terminate(LeasedTask task) {
        try {
            Runtime.getRuntime().halt(task.terminate());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String nonce(SecureRandom chance) {
        byte[] bytes = new byte[NONCE_BYTES];
        chance.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static String host() {
        try {
            return Files.readString(HOST).strip();
        } catch (IOException e) {
            return "unknown";
        }
    }
}
