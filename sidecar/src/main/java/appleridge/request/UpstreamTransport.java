package appleridge.request;

import appleridge.loadbalancing.Outcome;

/** Sends to upstreams, each request once: nothing is ever sent a second time below this. */
public interface UpstreamTransport {
    /**
     * Told once, and never inside a call to {@link UpstreamTransport}, how an attempt ended that
     * was not abandoned.
     */
    interface AttemptListener {
        /**
         * Its connection has come up, and nothing is written yet: it may be abandoned from in here.
         */
        default void onConnected() {}

        /**
         * A good answer is too long to be held, and begins to go out if that is wanted: then it
         * ends by {@link #ended}, as OK only when all of it has come, and the time for which the
         * answer is waited for no longer counts.
         *
         * @return whether it is wanted; else the attempt is broken off
         */
        default boolean onResponseStarted(StreamedResponse answer) {
            return false;
        }

        /**
         * The first of a request that can't be held whole is let go: from here on it can't be sent
         * again, and until {@link #committed} its client's time does not run. Told of such requests
         * alone.
         */
        default void onRequestStreamingStarted() {}

        /** The last byte of such a request is with the socket. */
        default void onRequestFullyWritten() {}

        /** With the answer where one was read, good or bad; else null. */
        void onAttemptEnded(Outcome outcome, UpstreamResponse reply);
    }

    /** An attempt on its way. */
    interface AttemptHandle {
        /** Whether any of the request's bytes may be with the socket. */
        boolean hasStartedWriting();

        /**
         * Whether the request's last byte is with the socket: from then on the upstream may run it.
         */
        boolean isFullyWritten();

        /** Gives it up: nothing more of it is written, nothing is told. */
        void cancel();
    }

    /** Sends a request to an upstream within a window. */
    AttemptHandle send(
            Endpoint to, UpstreamRequest what, SendDeadlines window, AttemptListener listener);

    /** Closes the connections to an upstream on which nothing is open. */
    void closeIdleConnections(Endpoint endpoint);
}
