package appleridge.config.operator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What a check of both files has found.
 *
 * @param config the platform's file; null if there is none to check
 * @param platform what it says; null if it can't be read
 * @param platformProblem why it can't be taken; null if it can
 * @param operator the operator's file; null if there is none
 * @param reading what the operator's file says, or what holds without one
 */
record CheckReport(
        Path config,
        PlatformFile.Summary platform,
        String platformProblem,
        Path operator,
        OperatorFile.Reading reading) {
    int problems() {
        return reading.findings().count() + (platformProblem == null ? 0 : 1);
    }

    /** Settings of the operator's file; none if it can't be taken. */
    List<Setting> settings() {
        return reading.findings().count() > 0
                ? List.of()
                : reading.findings().settings().stream()
                        .filter(each -> operator != null || !each.fromFile())
                        .toList();
    }

    List<Setting> changed() {
        return settings().stream().filter(Setting::isChanged).toList();
    }

    int line(Setting setting) {
        return setting.fromFile() ? reading.text().where(setting.path()).line() : 0;
    }

    /** What both files together come to, in plain words. */
    List<String> consequences() {
        List<String> lines = new ArrayList<>();
        if (platform != null && reading.findings().count() == 0) {
            int descriptors = platform.descriptors();
            LimitsSection limits = reading.file().limits().orElse(LimitsSection.DEFAULTS);
            int clients = limits.clientConnections(descriptors);
            int upstreams = limits.upstreamConnections(descriptors);
            lines.add(
                    "of "
                            + descriptors
                            + " file descriptors, "
                            + clients
                            + " are for connections of clients, "
                            + upstreams
                            + " for connections to upstreams, and "
                            + (descriptors - clients - upstreams)
                            + " for the program itself");
        }
        if (reading.findings().count() == 0) {
            reading.file().membership().ifPresent(section -> lines.addAll(section.consequences()));
            reading.file().leases().ifPresent(section -> lines.addAll(section.consequences()));
        }
        return lines;
    }
}
