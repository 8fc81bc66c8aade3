package appleridge.testbed.invariants;

import appleridge.testbed.simnet.SimSocket;

/** A request in flight, with the sockets it uses. */
final class TrackedRequest {
    final ClientAttempt attempt;
    RequestState state = RequestState.ARRIVING;
    SimSocket client;

    /** Position of the request on its connection; 0 before its first bytes are seen. */
    int position;

    String ahead;

    /**
     * Offset of its end in the bytes that its client's socket has written; -1 before all of it is
     * written.
     */
    long endsAt = -1;

    /** When the sidecar last read a part of an answer; NEVER before that. */
    long lastAnswerReadAt = AttemptRecord.NEVER;

    /** When the sidecar began to write the answer to the client; NEVER before that. */
    long answerBegunAt = AttemptRecord.NEVER;

    int attempts;

    /** The server that the module has named for the latest attempt. */
    String target;

    SimSocket upstream;
    String server;

    TrackedRequest(ClientAttempt attempt) {
        this.attempt = attempt;
    }

    String id() {
        return attempt.id();
    }

    /** Returns the given state for a first attempt, or its RESEND counterpart for a later one. */
    RequestState stateOfAttempt(RequestState first) {
        if (attempts <= 1) {
            return first;
        }
        return switch (first) {
            case CONNECTING -> RequestState.RESEND_CONNECTING;
            case WRITING -> RequestState.RESEND_WRITING;
            case WRITTEN -> RequestState.RESEND_WRITTEN;
            case ANSWERING -> RequestState.RESEND_ANSWERING;
            default -> first;
        };
    }

    boolean answerBegun() {
        return state == RequestState.ANSWERED || state == RequestState.IDLE;
    }

    ObservedRequest now() {
        return new ObservedRequest(
                attempt.id(), attempt, attempt.sidecar(), state, client, upstream, server);
    }
}
