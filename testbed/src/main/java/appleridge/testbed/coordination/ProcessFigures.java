package appleridge.testbed.coordination;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** What a process has used, as Linux counts it. */
final class ProcessFigures {
    /** Ticks of the kernel's count, which has been so on every machine for long. */
    private static final long TICKS_PER_SECOND = 100;

    private static final int USER_TIME_FIELD = 11;

    private ProcessFigures() {}

    /** Nanoseconds of processor time so far. */
    static long cpu(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME_FIELD])
                        + Long.parseLong(fields[USER_TIME_FIELD + 1]))
                * (TimeUnit.SECONDS.toNanos(1) / TICKS_PER_SECOND);
    }

    /** KiB in memory, now ({@code VmRSS}) or at most ({@code VmHWM}). */
    static long memory(long pid, String which) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith(which + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }
}
