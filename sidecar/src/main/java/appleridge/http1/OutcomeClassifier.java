package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Determines which {@link Outcome} of an attempt a socket event proves.
 *
 * <p>Invariant: an outcome that allows the retry of a non-idempotent request is returned only if
 * the event proves that the upstream did not run the request. Stateless.
 */
final class OutcomeClassifier {
    private static final String NOT_RUN_VALUE = "1";

    private OutcomeClassifier() {}

    /** The outcome of a complete response: only {@code X-Not-Run} proves that it did not run. */
    static Outcome ofResponse(HttpResponse head) {
        int status = head.status().code();
        if (status == 200) {
            return Outcome.OK;
        }
        boolean notRun =
                (status == 503 || status == 504)
                        && NOT_RUN_VALUE.equals(head.headers().get(Headers.NOT_RUN));
        return notRun ? Outcome.REJECTED : Outcome.ERROR;
    }

    /**
     * The outcome of a connection that ended without a complete response: the upstream may have run
     * the request once its last byte was written to the socket.
     */
    static Outcome ofClosedConnection(UpstreamCall call) {
        return call.isFullyWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /**
     * The outcome of a failed write: if the last byte was held back, the request did not run;
     * otherwise the end of the connection determines the outcome.
     *
     * @param known the outcome known before; null if none
     * @return the outcome; null if it is not known yet
     */
    static Outcome ofFailedWrite(Throwable cause, Outcome known) {
        return cause instanceof FinalByteGate.TooLateException ? Outcome.NEVER_SENT : known;
    }
}
