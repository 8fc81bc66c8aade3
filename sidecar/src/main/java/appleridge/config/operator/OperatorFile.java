package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The operator's own file ({@code --operator FILE}): settings that the platform's file doesn't
 * have. The format is TOML 1.0 in UTF-8, of at most 1 MiB, read once at the start. Parsing is
 * strict: an unknown key or an invalid value is an error. A section that the file doesn't have is
 * empty, and its settings keep their defaults.
 *
 * @param clients {@code [clients]}
 * @param limits {@code [limits]}
 * @param membership {@code [membership]}
 * @param leases {@code [leases]}
 */
public record OperatorFile(
        Optional<ClientsSection> clients,
        Optional<LimitsSection> limits,
        Optional<MembershipSection> membership,
        Optional<LeasesSection> leases) {
    private static final int VERSION = 1;

    /**
     * Reads a file.
     *
     * @throws OperatorFileException if it can't be read or is invalid; the message names every
     *     problem
     */
    public static OperatorFile read(Path file) {
        Inspection inspection = inspect(file);
        if (inspection.findings.count() > 0) {
            throw new OperatorFileException(file.toString(), inspection.findings);
        }
        return inspection.file;
    }

    /**
     * The result of reading a file. The file may be used only if there is no problem.
     *
     * @param file the sections; null if the text is not valid TOML or its version is not supported
     * @param text the text; null if it can't be read or decoded
     * @param findings the settings and problems
     */
    record Inspection(OperatorFile file, TomlText text, Findings findings) {}

    static Inspection inspect(Path file) {
        try (InputStream in = Files.newInputStream(file)) {
            return inspect(in.readNBytes(TomlText.MAX_BYTES + 1));
        } catch (IOException e) {
            Findings findings = new Findings();
            findings.problem("", () -> Position.UNKNOWN, () -> MessageText.describeReadFailure(e));
            return new Inspection(null, null, findings);
        }
    }

    static Inspection inspect(byte[] bytes) {
        Findings findings = new Findings();
        TomlText text = TomlText.of(bytes, findings);
        JsonNode root = text == null ? null : text.tree(findings);
        return new Inspection(
                root == null ? null : sections(Table.top(root, text, findings)), text, findings);
    }

    private static OperatorFile sections(Table top) {
        int version =
                top.required(
                        "version",
                        ValueKind.integer(1, Integer.MAX_VALUE),
                        VERSION,
                        "version of this file's format");
        if (version != VERSION) {
            top.reject(
                    "version",
                    version + " is not supported; this program reads version " + VERSION);
            return null;
        }
        Table clients = top.table("clients");
        Table limits = top.table("limits");
        Table membership = top.table("membership");
        Table leases = top.table("leases");
        ClientsSection clientsSection = ClientsSection.read(clients);
        LimitsSection limitsSection = LimitsSection.read(limits);
        Optional<MembershipSection> membershipSection =
                membership.present()
                        ? Optional.of(MembershipSection.read(membership))
                        : Optional.empty();
        Optional<LeasesSection> leasesSection =
                leases.present() ? Optional.of(LeasesSection.read(leases)) : Optional.empty();
        top.rejectUnknownKeys();
        return new OperatorFile(
                clients.present() ? Optional.of(clientsSection) : Optional.empty(),
                limits.present() ? Optional.of(limitsSection) : Optional.empty(),
                membershipSection,
                leasesSection);
    }
}
