package appleridge.testbed.lease;

import appleridge.testbed.mutation.Edit;
import appleridge.testbed.mutation.PlantedFault;
import java.util.Arrays;
import java.util.List;

/**
 * An assumption on which safety depends, and what invalidates it: edits of the product, or a scope
 * in which holders behave differently.
 *
 * @param name lower-case words joined by hyphens
 * @param what describes what is wrong without the assumption
 * @param scope the scope to explore; its depth is the one by which a violation must be found
 * @param edits the edits of the product; more than one only if another line prevents the same
 *     violation, none if the scope alone invalidates the assumption
 */
record SafetyAssumption(String name, String what, String scope, List<Edit> edits) {
    private static final String LEASE = "lease/Lease";
    private static final String PARAMETERS = "lease/LeaseParameters";
    private static final String REQUESTS = "lease/StoreRequests";
    private static final String STOPPED = "timed held 35 1 STOPS 0 0 1 ";
    private static final String STOPPED_WITH_RELEASE = "timed held 35 1 STOPS 1 1 1 ";

    static final List<SafetyAssumption> ALL =
            List.of(
                    of(
                            "counted-from-answer",
                            "a grant is counted from the response",
                            STOPPED + 30,
                            in(
                                    LEASE,
                                    null,
                                    "lastWrite.sentAtNanos() + parameters.grantNanos()",
                                    "nowNanos + parameters.grantNanos()")),
                    of(
                            "no-guard",
                            "a holder uses a clock reading that is older than its guard time",
                            STOPPED + 30,
                            in(PARAMETERS, "public long grantNanos() {", " - clockGuardNanos", "")),
                    of(
                            "no-guard-of-waiter",
                            "a waiter uses a clock reading that is older than its guard time",
                            STOPPED + 30,
                            in(
                                    PARAMETERS,
                                    "public long takeOverDelayNanos(long recordTermNanos) {",
                                    " + clockGuardNanos",
                                    "")),
                    of(
                            "drift-ignored",
                            "all clocks are assumed to run at the same rate",
                            STOPPED + 30,
                            in(
                                    PARAMETERS,
                                    "private static long drift(long nanos, int driftPpm) {",
                                    "nanos / PARTS_PER_MILLION * driftPpm + (nanos %"
                                            + " PARTS_PER_MILLION * driftPpm +"
                                            + " PARTS_PER_MILLION - 1) / PARTS_PER_MILLION",
                                    "0")),
                    of(
                            "checked-when-queued",
                            "an operation is checked when it is queued, and begins later",
                            "timed held 35 1 STOPS 0 0 9 30"),
                    of(
                            "pause-longer",
                            "a pause between check and operation is longer than assumed",
                            "timed held 35 1 STOPS 0 0 2 30"),
                    of(
                            "take-over-not-waited-out",
                            "the new holder operates while operations of the old one are running",
                            STOPPED + 30,
                            in(
                                    LEASE,
                                    null,
                                    "noneBefore ? 0 : parameters.gracePeriodNanos()",
                                    "noneBefore ? 0 : 0")),
                    of(
                            "take-over-passed-on",
                            "a new holder that releases at once hides running operations of the old"
                                    + " one",
                            STOPPED_WITH_RELEASE + 24,
                            in(
                                    LEASE,
                                    null,
                                    "Math.max(notBeforeNanos, earliestStartNanos)",
                                    "notBeforeNanos")),
                    of(
                            "shrunk-at-once",
                            "permits are given away while operations under them are running",
                            "timed held 35 0 - 1 0 1 24",
                            in(
                                    LEASE,
                                    "public void releaseAfterGracePeriod(long nowNanos) {",
                                    " + parameters.gracePeriodNanos()",
                                    "")),
                    of(
                            "doubt-taken-for-held",
                            "a renewal with unknown outcome extends the grant",
                            "timed held 35 2 LOST,STOPS 0 0 1 27",
                            in(
                                    LEASE,
                                    "public void onOutcomeUnknown(long nowNanos, long requestId) {",
                                    "request = requests.open();",
                                    "request = requests.open(); if (grant != null && request"
                                            + " != null && request.next() != null) {"
                                            + " extendGrant(nowNanos); }")),
                    of(
                            "renewed-by-pings",
                            "a restored connection extends the grant",
                            "timed held 35 2 DISCONNECTS 0 0 1 27",
                            in(
                                    LEASE,
                                    null,
                                    "connected = true;\n        observed",
                                    "connected = true; if (grant != null) { grant = new"
                                            + " Grant(grant.token(), grant.notBeforeNanos(),"
                                            + " nowNanos + parameters.grantNanos()); }\n"
                                            + "        observed")),
                    of(
                            "token-repeats",
                            "a new holder reuses the token of the old one",
                            "fenced held 44 1 STOPS 0 0 1 24",
                            in(LEASE, null, "(takesOver ? 1 : 0)", "0")),
                    of(
                            "release-undone",
                            "a delayed renewal undoes a release",
                            "timed held 35 0 - 1 1 1 18",
                            in(
                                    REQUESTS,
                                    null,
                                    "lastWrite.requestId > requestId",
                                    "lastWrite.requestId > 0"),
                            in(LEASE, null, "proven && !releasePending", "proven")),
                    of(
                            "written-whatever-the-version",
                            "a delayed write overwrites newer records",
                            "timed held 35 1 DELAYED 1 1 1 18",
                            in(LEASE, null, "seen == null ? NO_VERSION : seen.version()", "-2")),
                    of(
                            "parts-rounded-up",
                            "the remainder of the budget is given to each holder",
                            BudgetShareModel.SCOPE,
                            in(
                                    "lease/BudgetShare",
                                    null,
                                    "total * permits.usable(nowNanos, durationNanos)",
                                    "(total * permits.usable(nowNanos, durationNanos) +"
                                            + " permits.leases().size() - 1)")));

    private static SafetyAssumption of(String name, String what, String scope, Edit... edits) {
        return new SafetyAssumption(name, what, scope, Arrays.asList(edits));
    }

    private static Edit in(String file, String within, String original, String replacement) {
        return new Edit(file, within, original, replacement);
    }

    PlantedFault fault() {
        return new PlantedFault(name, what, edits, List.of(), null, null);
    }
}
