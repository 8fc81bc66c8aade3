package appleridge.request;

/** Counts what becomes of requests; each is counted in one place, once. Event loop only. */
public interface RequestMetrics {
    /** Counts nothing. */
    RequestMetrics NONE = new RequestMetrics() {};

    /** How an accepted request has ended. */
    enum RequestEnd {
        /** With an upstream's good response. */
        SERVED("served"),
        /** Not executed, so that a retry is harmless. */
        REJECTED("refused"),
        /** It may have been executed. */
        FAILED("failed"),
        /** Its client left first. */
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

    /** A request has arrived. */
    default void onRequestAccepted(int requestClass) {}

    /** A request that had arrived has ended. */
    default void onRequestEnded(int requestClass, RequestEnd how) {}

    /** An attempt is sent; {@code further} where it is not the request's first. */
    default void onAttemptSent(int requestClass, boolean further) {}

    /** Input that is no valid request was rejected. */
    default void onMalformedRequest() {}
}
