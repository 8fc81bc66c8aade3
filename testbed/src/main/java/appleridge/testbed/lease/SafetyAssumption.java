package appleridge.testbed.lease;

import appleridge.testbed.mutation.Edit;
import appleridge.testbed.mutation.PlantedFault;
import java.util.Arrays;
import java.util.List;

/**
 * One thing on which safety rests, and what takes it away: an edit of the product, or a holder's
 * conduct.
 *
 * @param name short, of lower-case words joined by hyphens
 * @param what what is wrong without it
 * @param scope where that is looked for, to the depth at which it must have been found
 * @param edits more than one place only where another line guards against the same; none for a
 *     conduct
 */
record SafetyAssumption(String name, String what, String scope, List<Edit> edits) {
    private static final String LEASE = "lease/Lease";
    private static final String PARAMETERS = "lease/LeaseParameters";
    private static final String REQUESTS = "lease/StoreRequests";
    private static final String STOPPED = "timed held 35 1 STOPS 0 0 1 ";
    private static final String LEAVING = "timed held 35 1 STOPS 1 1 1 ";

    static final List<SafetyAssumption> ALL =
            List.of(
                    of(
                            "counted-from-answer",
                            "a grant counts from the answer",
                            STOPPED + 30,
                            in(
                                    LEASE,
                                    null,
                                    "lastWrite.sentAtNanos() + parameters.grantNanos()",
                                    "nowNanos + parameters.grantNanos()")),
                    of(
                            "no-guard",
                            "a holder's reading of its clock may be older than it allows for",
                            STOPPED + 30,
                            in(PARAMETERS, "public long grantNanos() {", " - clockGuardNanos", "")),
                    of(
                            "no-guard-of-waiter",
                            "a waiter's reading may be older than it allows for",
                            STOPPED + 30,
                            in(
                                    PARAMETERS,
                                    "public long takeOverDelayNanos(long recordTermNanos) {",
                                    " + clockGuardNanos",
                                    "")),
                    of(
                            "drift-ignored",
                            "all clocks are taken to run alike",
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
                            "an act is checked when it is queued, and begins when its turn comes",
                            "timed held 35 1 STOPS 0 0 9 30"),
                    of(
                            "pause-longer",
                            "a pause between check and act is longer than assumed",
                            "timed held 35 1 STOPS 0 0 2 30"),
                    of(
                            "take-over-not-waited-out",
                            "the new holder acts while acts of the old go on",
                            STOPPED + 30,
                            in(
                                    LEASE,
                                    null,
                                    "noneBefore ? 0 : parameters.gracePeriodNanos()",
                                    "noneBefore ? 0 : 0")),
                    of(
                            "take-over-passed-on",
                            "a new holder that leaves at once hides that acts of the old go on",
                            LEAVING + 24,
                            in(
                                    LEASE,
                                    null,
                                    "Math.max(notBeforeNanos, earliestStartNanos)",
                                    "notBeforeNanos")),
                    of(
                            "shrunk-at-once",
                            "a part that shrinks is given to another while acts under it go on",
                            "timed held 35 0 - 1 0 1 24",
                            in(
                                    LEASE,
                                    "public void releaseAfterGracePeriod(long nowNanos) {",
                                    " + parameters.gracePeriodNanos()",
                                    "")),
                    of(
                            "doubt-taken-for-held",
                            "a renewal of which nothing is known extends the grant",
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
                            "a connection that is there again extends the grant",
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
                            "a new holder goes on with the token of the old",
                            "fenced held 44 1 STOPS 0 0 1 24",
                            in(LEASE, null, "(takesOver ? 1 : 0)", "0")),
                    of(
                            "release-undone",
                            "a late renewal undoes a release",
                            "timed held 35 0 - 1 1 1 18",
                            in(
                                    REQUESTS,
                                    null,
                                    "lastWrite.requestId > requestId",
                                    "lastWrite.requestId > 0"),
                            in(LEASE, null, "proven && !releasePending", "proven")),
                    of(
                            "written-whatever-the-version",
                            "a late write undoes what came after",
                            "timed held 35 1 DELAYED 1 1 1 18",
                            in(LEASE, null, "seen == null ? NO_VERSION : seen.version()", "-2")),
                    of(
                            "parts-rounded-up",
                            "what is left over is given to each",
                            BudgetShareModel.WORDS,
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
