package appleridge.request;

/** Counts requests by their end, and attempts; each exactly once. Event loop only. */
public interface RequestMetrics {
    /** Counts nothing. */
    RequestMetrics NONE = new RequestMetrics() {};

    /** How an accepted request has ended. */
    enum RequestEnd {
        /** With the successful response of an upstream host. */
        SERVED("served"),
        /** Not executed, so that a retry is harmless. */
        REJECTED("refused"),
        /** Without a successful response; it may have been executed. */
        FAILED("failed"),
        /** The client disconnected first. */
        CLIENT_DISCONNECTED("left");

        private final String metricSuffix;

        RequestEnd(String metricSuffix) {
            this.metricSuffix = metricSuffix;
        }

        /**
         * The suffix of the name of the metric that counts this end, as in {@code requests_served}.
         */
        public String metricSuffix() {
            return metricSuffix;
        }
    }

    /** Counts a request that has arrived. */
    default void onRequestAccepted(int requestClass) {}

    /** Counts the end of a request that was counted on its arrival. */
    default void onRequestEnded(int requestClass, RequestEnd how) {}

    /** Counts a sent attempt; {@code further} if it is not the first of its request. */
    default void onAttemptSent(int requestClass, boolean further) {}

    /** Counts rejected input that is no valid request. */
    default void onMalformedRequest() {}
}
