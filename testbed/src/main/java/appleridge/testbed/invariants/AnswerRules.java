package appleridge.testbed.invariants;

/** One answer for each request, and none that no server made for it. */
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
                            ? "served, and no server made an answer for it"
                                    + otherRequestServedWith(body)
                            : "served with another body than was made for it"
                                    + otherRequestServedWith(body));
        }
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        AttemptRecord request = requests.find(id);
        if (begun && request != null && request.stage == AttemptRecord.Stage.ANSWERED) {
            findings.add(Rule.TWO_ANSWERS, id, "more than its answer came: " + how);
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
