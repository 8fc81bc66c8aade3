package appleridge.config.operator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The result of checking the platform's and the operator's file.
 *
 * @param config the platform's file; null if there is none to check
 * @param platform summary of the platform's file; null if there is none or it is invalid
 * @param platformProblem why the platform's file is invalid; null if it is valid or there is none
 * @param operator the operator's file; null if there is none
 * @param inspection the result of reading the operator's file, or the defaults without one
 */
record CheckReport(
        Path config,
        PlatformFile.Summary platform,
        String platformProblem,
        Path operator,
        OperatorFile.Inspection inspection) {
    int problems() {
        return inspection.findings().count() + (platformProblem == null ? 0 : 1);
    }

    /** The settings in effect; empty if the operator's file has a problem. */
    List<Setting> settings() {
        return inspection.findings().count() > 0
                ? List.of()
                : inspection.findings().settings().stream()
                        .filter(each -> operator != null || !each.fromFile())
                        .toList();
    }

    List<Setting> changed() {
        return settings().stream().filter(Setting::isChanged).toList();
    }

    int line(Setting setting) {
        return setting.fromFile() ? inspection.text().positionOf(setting.path()).line() : 0;
    }

    /** Describes the combined effect of both files, one sentence a line. */
    List<String> consequences() {
        List<String> lines = new ArrayList<>();
        if (platform != null && inspection.findings().count() == 0) {
            int descriptors = platform.descriptors();
            LimitsSection limits = inspection.file().limits().orElse(LimitsSection.DEFAULTS);
            int clients = limits.clientConnections(descriptors);
            int upstreams = limits.upstreamConnections(descriptors);
            lines.add(
                    "of "
                            + descriptors
                            + " file descriptors, "
                            + clients
                            + " are for client connections, "
                            + upstreams
                            + " for upstream connections, and "
                            + (descriptors - clients - upstreams)
                            + " for the program itself");
        }
        if (inspection.findings().count() == 0) {
            inspection
                    .file()
                    .membership()
                    .ifPresent(section -> lines.addAll(section.consequences()));
            inspection.file().leases().ifPresent(section -> lines.addAll(section.consequences()));
        }
        return lines;
    }
}
