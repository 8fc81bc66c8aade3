package appleridge.loadbalancing;

/** What {@link AdmissionController} does with a request, and if it is rejected, for what reason. */
enum Admission {
    /** An attempt has been sent. */
    SENT(null),
    /** No host takes it now: it waits for capacity, while it can still be answered in time. */
    QUEUED(null),
    /** Its client has given up, or does so now. */
    REJECTED_DEADLINE_PASSED(AnswerReason.DEADLINE_PASSED),
    /** Discovery shows no ready host. */
    REJECTED_NO_READY_HOST(AnswerReason.NO_READY_HOST),
    /** Overload: answers come late all over the fleet ({@link LoadShedder}). */
    REJECTED_LOAD_SHEDDING(AnswerReason.LOAD_SHEDDING),
    /** Requests were queued lately, and this one could not be answered within its objective. */
    REJECTED_OBJECTIVE_OUT_OF_REACH(AnswerReason.OBJECTIVE_OUT_OF_REACH);

    private final AnswerReason answerReason;

    Admission(AnswerReason answerReason) {
        this.answerReason = answerReason;
    }

    /** Why the request is rejected; null where it is not. */
    AnswerReason answerReason() {
        return answerReason;
    }

    boolean isRejected() {
        return answerReason != null;
    }
}
