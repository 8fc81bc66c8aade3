package appleridge.request;

/** Counts what becomes of requests; each thing is told in one place, once. */
public interface RequestMetrics {
    /** Where nobody asks. */
    RequestMetrics NONE = new RequestMetrics() {};

    /** How a request that was taken has ended. */
    enum RequestEnd {
        /** With an upstream's good answer. */
        SERVED("served"),
        /** Not done, and asking again is harmless. */
        REJECTED("refused"),
        /** With no promise about effects. */
        FAILED("failed"),
        /** Its client left first. */
        CLIENT_DISCONNECTED("left");

        private final String metricWord;

        RequestEnd(String metricWord) {
            this.metricWord = metricWord;
        }

        /** The word by which the metrics' names tell this end. */
        public String metricWord() {
            return metricWord;
        }
    }

    /** A request has been taken. */
    default void onRequestAccepted(int requestClass) {}

    /** A request that was taken has ended. */
    default void onRequestEnded(int requestClass, RequestEnd how) {}

    /** An attempt goes to an upstream; {@code further} where it is not the request's first. */
    default void onAttemptSent(int requestClass, boolean further) {}

    /** What came made no sense and was turned away as that. */
    default void onMalformedRequest() {}
}
