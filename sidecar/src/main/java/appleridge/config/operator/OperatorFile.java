package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The operator's own file ({@code --operator FILE}): what the platform's file has no word for. TOML
 * 1.0, in UTF-8, of at most 1 MiB, read once at the start. Strict: an unknown key or a senseless
 * value is an error. Each section that the file doesn't have is empty here, and what it would set
 * stays as usual.
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
     * @throws OperatorFileException if it can't be read or taken; the message names all that is
     *     wrong
     */
    public static OperatorFile read(Path file) {
        Reading reading = inspect(file);
        if (reading.findings.count() > 0) {
            throw new OperatorFileException(file.toString(), reading.findings);
        }
        return reading.file;
    }

    /**
     * A file as far as it could be read, with what was found; only without a problem is it to be
     * used.
     */
    record Reading(OperatorFile file, TomlText text, Findings findings) {}

    static Reading inspect(Path file) {
        try (InputStream in = Files.newInputStream(file)) {
            return inspect(in.readNBytes(TomlText.MAX_BYTES + 1));
        } catch (IOException e) {
            Findings findings = new Findings();
            findings.problem("", () -> Position.UNKNOWN, () -> MessageText.unreadable(e));
            return new Reading(null, null, findings);
        }
    }

    static Reading inspect(byte[] bytes) {
        Findings findings = new Findings();
        TomlText text = TomlText.of(bytes, findings);
        JsonNode root = text == null ? null : text.tree(findings);
        return new Reading(
                root == null ? null : sections(Table.top(root, text, findings)), text, findings);
    }

    private static OperatorFile sections(Table top) {
        int version =
                top.required(
                        "version",
                        ValueKind.whole(1, Integer.MAX_VALUE),
                        VERSION,
                        "version of this file's form");
        if (version != VERSION) {
            top.reject("version", version + " is not known; this program reads version " + VERSION);
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
