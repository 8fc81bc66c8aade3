package appleridge.testbed.coordination;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The CPU time and memory of a process, read from {@code /proc}. */
final class ProcessFigures {
    /**
     * The kernel's clock ticks per second ({@code USER_HZ}), which is 100 on all common platforms.
     */
    private static final long TICKS_PER_SECOND = 100;

    private static final int USER_TIME_FIELD = 11; // after the command name; system time follows

    private ProcessFigures() {}

    /** The CPU time used so far, user and system, in nanoseconds. */
    static long cpu(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME_FIELD])
                        + Long.parseLong(fields[USER_TIME_FIELD + 1]))
                * (TimeUnit.SECONDS.toNanos(1) / TICKS_PER_SECOND);
    }

    /**
     * The resident memory in KiB, current ({@code VmRSS}) or peak ({@code VmHWM}); 0 if the field
     * is missing.
     */
    static long memory(long pid, String which) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith(which + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }
}
