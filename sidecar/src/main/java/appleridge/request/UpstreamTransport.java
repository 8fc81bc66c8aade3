package appleridge.request;

import appleridge.loadbalancing.Outcome;

/** Sends each attempt to its upstream host once; a transport never retries. Event loop only. */
public interface UpstreamTransport {
    /**
     * Receives the events of an attempt until the attempt is cancelled, never within a call to
     * {@link UpstreamTransport}. The end of the attempt is reported exactly once.
     */
    interface AttemptListener {
        /**
         * The connection is up and nothing is written yet; the attempt may be cancelled in here.
         */
        default void onConnected() {}

        /**
         * Called right before the first byte is written. The attempt may be cancelled in here.
         *
         * @param resume continues the attempt where this returns false, unless it has ended
         * @return whether to write the attempt
         */
        default boolean mayBegin(Runnable resume) {
            return true;
        }

        /**
         * The first part of a successful response that is, or may be, too long to be buffered has
         * arrived. If the response is streamed, {@link SendDeadlines#responseByNanos} no longer
         * applies and {@link #onAttemptEnded} reports OK only after the last byte.
         *
         * @return whether to stream the response; if false, the attempt is aborted
         */
        default boolean onResponseStarted(StreamedResponse response) {
            return false;
        }

        /**
         * The first part of a request that is too long to be buffered is being sent. From now on
         * the request can't be sent again, and {@link SendDeadlines#responseByNanos} no longer
         * applies. Called only for such requests.
         */
        default void onRequestStreamingStarted() {}

        /** The attempt has ended; {@code response} is null if none was read. */
        void onAttemptEnded(Outcome outcome, UpstreamResponse response);
    }

    /** An attempt that has not ended. */
    interface AttemptHandle {
        /** Whether any byte of the request may have been passed to the socket. */
        boolean hasStartedWriting();

        /**
         * Whether the last byte of the request has been passed to the socket; from then on the host
         * may execute it.
         */
        boolean isFullyWritten();

        /**
         * Streams a response that may be too long to be buffered and is held for a retry. Calls
         * {@link AttemptListener#onResponseStarted} before it returns.
         *
         * @return false if there is no such response, or it can't be streamed
         */
        default boolean streamHeldResponse() {
            return false;
        }

        /** Cancels the attempt: no more is written, and its listener is not called again. */
        void cancel();
    }

    /** Sends a request to a host within the deadlines. */
    AttemptHandle send(
            Endpoint endpoint,
            UpstreamRequest request,
            SendDeadlines deadlines,
            AttemptListener listener);

    /** Closes the idle connections to a host. */
    void closeIdleConnections(Endpoint endpoint);
}
