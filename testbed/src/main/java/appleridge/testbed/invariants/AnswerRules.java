package appleridge.testbed.invariants;

/**
 * Checks that each request gets one answer at most, and that a served answer was made by a server
 * for this request.
 */
final class AnswerRules implements DayListener {
    private final Requests requests;
    private final Findings findings;

    AnswerRules(Requests requests, Findings findings) {
        this.requests = requests;
        this.findings = findings;
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = requests.find(id);
        if (request == null) {
            return;
        }
        if (request.stage == AttemptRecord.Stage.ANSWERED) {
            findings.add(Rule.TWO_ANSWERS, id, "answered " + status + " after " + request.status);
        }
        if (status == 200 && !request.serverBodies.contains(body)) {
            findings.add(
                    Rule.WRONG_ANSWER,
                    id,
                    request.serverBodies.isEmpty()
                            ? "served, but no server made an answer for it"
                                    + otherRequestServedWith(body)
                            : "served with a body other than the one made for it"
                                    + otherRequestServedWith(body));
        }
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        AttemptRecord request = requests.find(id);
        if (begun && request != null && request.stage == AttemptRecord.Stage.ANSWERED) {
            findings.add(Rule.TWO_ANSWERS, id, "bytes after its answer: " + how);
        }
    }

    private String otherRequestServedWith(String body) {
        for (AttemptRecord each : requests.all()) {
            if (each.serverBodies.contains(body)) {
                return "; it was made for " + each.id();
            }
        }
        return "";
    }
}
