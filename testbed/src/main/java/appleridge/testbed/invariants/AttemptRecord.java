package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.List;

/** What is known of one try of a usual client. */
final class AttemptRecord {
    /** How far it is, as its client sees it. */
    enum Stage {
        /** Its last byte is not yet in a connection that was accepted. */
        UNTAKEN,
        /** An answer is owed. */
        TAKEN,
        /** A whole answer was read. */
        ANSWERED,
        /** Its connection ended without one. */
        BROKEN,
        /** Its client left. */
        LEFT
    }

    static final long NEVER = -1;

    final ClientAttempt attempt;

    /** What went to servers for it, in the order in which they could first read its id. */
    final List<RequestCopy> copies = new ArrayList<>(2);

    /** The good answers that servers made for it. */
    final List<String> serverBodies = new ArrayList<>(2);

    Stage stage = Stage.UNTAKEN;

    /** A life of the sidecar that took it. */
    int incarnation;

    long takenAt = NEVER;

    /** When the sidecar wrote its answer's last byte. */
    long answeredAt = NEVER;

    int status;
    long brokenAt = NEVER;
    long leftAt = NEVER;

    /** When the module refused it or gave it up. */
    long givenUpAt = NEVER;

    /** A fault was aimed at it. */
    boolean struckByFault;

    AttemptRecord(ClientAttempt attempt) {
        this.attempt = attempt;
    }

    String id() {
        return attempt.id();
    }

    boolean isOpen() {
        return stage == Stage.TAKEN;
    }

    boolean wasRefused() {
        return status == 429 || status == 503;
    }
}
