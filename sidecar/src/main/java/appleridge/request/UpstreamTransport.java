package appleridge.request;

import appleridge.loadbalancing.Outcome;

/** Sends attempts to upstream hosts, each once: nothing below this retries. Event loop only. */
public interface UpstreamTransport {
    /**
     * Notified of an attempt until it is cancelled, and never within a call to {@link
     * UpstreamTransport}; of its end exactly once.
     */
    interface AttemptListener {
        /** Its connection is up, and nothing is written yet: it may be cancelled from in here. */
        default void onConnected() {}

        /**
         * A good response is too long to be buffered, and is streamed if that is wanted: then it
         * ends by {@link #onAttemptEnded}, as OK only when all of it has come, and {@link
         * SendDeadlines#responseByNanos} no longer counts.
         *
         * @return whether it is wanted; else the attempt is broken off
         */
        default boolean onResponseStarted(StreamedResponse answer) {
            return false;
        }

        /**
         * A request that is too long to be buffered begins to be streamed: from here on it can't be
         * sent again, and its client's timeout does not run until {@link #onRequestFullyWritten}.
         * Only for such requests.
         */
        default void onRequestStreamingStarted() {}

        /** The last byte of such a streamed request is with the socket. */
        default void onRequestFullyWritten() {}

        /** With the response where one was read, good or bad; else null. */
        void onAttemptEnded(Outcome outcome, UpstreamResponse reply);
    }

    /** An attempt that has not ended. */
    interface AttemptHandle {
        /** Whether any of the request's bytes may be with the socket. */
        boolean hasStartedWriting();

        /**
         * Whether the request's last byte is with the socket: from then on the upstream may execute
         * it.
         */
        boolean isFullyWritten();

        /** Cancels it: nothing more is written, and its listener is not notified any more. */
        void cancel();
    }

    /** Sends a request to a host within the deadlines. */
    AttemptHandle send(
            Endpoint to, UpstreamRequest what, SendDeadlines window, AttemptListener listener);

    /** Closes the idle connections to a host. */
    void closeIdleConnections(Endpoint endpoint);
}
