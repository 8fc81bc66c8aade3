package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Which {@link Outcome} of an attempt a socket event proves.
 *
 * <p>Invariant: an outcome that allows a retry of what must not run twice is given only where the
 * event proves that the upstream did not run the request. Stateless.
 */
final class OutcomeClassifier {
    private static final String NOT_RUN_VALUE = "1";

    private OutcomeClassifier() {}

    /** A complete response: only the upstream's {@code X-Not-Run} proves that it did not run. */
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
     * The connection ended without a complete response: the request may have run once its last byte
     * was with the socket.
     */
    static Outcome ofClosedConnection(UpstreamCall call) {
        return call.isFullyWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /**
     * A write failed: where the last byte was held back, the request did not run; else the end of
     * the connection tells.
     *
     * @param known the outcome known before, null for none
     * @return null where nothing is known
     */
    static Outcome ofFailedWrite(Throwable cause, Outcome known) {
        return cause instanceof FinalByteGate.TooLateException ? Outcome.NEVER_SENT : known;
    }
}
