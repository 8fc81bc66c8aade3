package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.List;

/** State of one attempt of a well-behaved client, as the stand-ins reported it. */
final class AttemptRecord {
    /** Progress of the attempt as its client sees it. */
    enum Stage {
        /** The last byte is not yet in a connection that the sidecar's machine has accepted. */
        UNTAKEN,
        /** The request is accepted and an answer is owed. */
        TAKEN,
        /** The client has read a complete answer. */
        ANSWERED,
        /** The connection ended without a complete answer. */
        BROKEN,
        /** The client has given up. */
        LEFT
    }

    static final long NEVER = -1;

    final ClientAttempt attempt;

    /**
     * Copies that reached servers, ordered by when the server could first read the id; a copy moves
     * to the end when its last byte arrives.
     */
    final List<RequestCopy> copies = new ArrayList<>(2);

    /** Bodies of the good answers that servers made for this request. */
    final List<String> serverBodies = new ArrayList<>(2);

    Stage stage = Stage.UNTAKEN;

    /** Incarnation of the sidecar that accepted the request. */
    int incarnation;

    long takenAt = NEVER;

    /** When the sidecar wrote the last byte of the answer. */
    long answeredAt = NEVER;

    int status;
    long brokenAt = NEVER;
    long leftAt = NEVER;

    /** When the decision module refused the request or gave it up. */
    long givenUpAt = NEVER;

    /** Whether a fault was aimed at this request. */
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
