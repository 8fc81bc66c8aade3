package appleridge.loadbalancing;

/** What {@link AdmissionController} does with a request, and the reason of a rejection. */
enum Admission {
    /** An attempt has been sent. */
    SENT(null),
    /** No host takes it now. It waits for capacity for as long as it can be answered in time. */
    QUEUED(null),
    /** Its deadline has passed. */
    REJECTED_DEADLINE_PASSED(AnswerReason.DEADLINE_PASSED),
    /** Discovery shows no ready host. */
    REJECTED_NO_READY_HOST(AnswerReason.NO_READY_HOST),
    /**
     * The fleet is overloaded: responses are late at hosts of the whole fleet; see {@link
     * LoadShedder}.
     */
    REJECTED_LOAD_SHEDDING(AnswerReason.LOAD_SHEDDING),
    /**
     * Requests have been queued recently, and this one's answer would come too late to be of value.
     */
    REJECTED_OBJECTIVE_OUT_OF_REACH(AnswerReason.OBJECTIVE_OUT_OF_REACH);

    private final AnswerReason answerReason;

    Admission(AnswerReason answerReason) {
        this.answerReason = answerReason;
    }

    /** The reason of a rejection; null for {@link #SENT} and {@link #QUEUED}. */
    AnswerReason answerReason() {
        return answerReason;
    }

    boolean isRejected() {
        return answerReason != null;
    }
}
