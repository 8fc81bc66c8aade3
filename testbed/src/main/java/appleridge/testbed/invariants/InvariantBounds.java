package appleridge.testbed.invariants;

import java.util.List;

/**
 * Bounds that the rules check against; times in nanoseconds.
 *
 * @param classes what each request class allows, by index
 * @param answerSlack by how much an answer may be later than the deadline
 * @param reactionTime time within which the sidecar carries out a decision or follows a
 *     notification
 * @param socketSlack allowance added to each time limit that is observed on sockets
 * @param linkDelay longest transfer time between a client and its sidecar while no link trouble is
 *     reported: delay, jitter, retransmission of a segment, transmission of a whole message
 * @param loopDelay delay that queued work in a sidecar's loop may add while nothing is in trouble
 * @param drainGrace from the delivery of a drain to the last send
 * @param tipAfter window over which the work of a cold server counts
 * @param askWithin what was known this long ago counts as delivered to a sidecar that has no call
 *     pending
 * @param callDeliveryLimit a call that does not wait counts as answered after this time
 * @param watchDeliveryLimit the same for a call that waits, counted from the end of its wait
 * @param reloadDeliveryLimit the same after SIGHUP
 * @param longestDeadline longest deadline of any client
 * @param killAfter SIGKILL follows SIGTERM no sooner than after the longest deadline plus this time
 * @param connectsAfterTerm how long clients go on opening connections after SIGTERM
 * @param maxRetryAfter longest Retry-After of a refusal; 0 if a refusal may carry none
 * @param recovery time from the last fault until all servable requests are served
 * @param servedShare share of them that suffices
 */
public record InvariantBounds(
        List<ClassRule> classes,
        long answerSlack,
        long reactionTime,
        long socketSlack,
        long linkDelay,
        long loopDelay,
        long drainGrace,
        long tipAfter,
        long askWithin,
        long callDeliveryLimit,
        long watchDeliveryLimit,
        long reloadDeliveryLimit,
        long longestDeadline,
        long killAfter,
        long connectsAfterTerm,
        long maxRetryAfter,
        long recovery,
        double servedShare) {
    /** How far requests of a class may be repeated once one copy may have run. */
    public enum Repeats {
        /** Without limit. */
        FREELY,
        /** Within the window, at servers in the zone of the first copy's server. */
        WITHIN_ZONE,
        /** Within the window, at any server. */
        ANYWHERE,
        /** Not at all. */
        NEVER;

        /** Returns whether a refusal is harmless although the request may have run. */
        boolean mayBeRefused() {
            return this == FREELY || this == ANYWHERE;
        }
    }

    /** A request class. */
    public record ClassRule(String name, Repeats repeats, long window) {}

    /** Returns the bounds of the site, for a day with a fast network and fast loops. */
    public static InvariantBounds defaults() {
        return new InvariantBounds(
                List.of(
                        new ClassRule("stock-check", Repeats.FREELY, 0),
                        new ClassRule("stock-hold", Repeats.WITHIN_ZONE, TimeSpans.SECOND),
                        new ClassRule("order-confirm", Repeats.ANYWHERE, 7500 * TimeSpans.MS),
                        new ClassRule("raise-invoice", Repeats.NEVER, 0)),
                20 * TimeSpans.MS,
                5 * TimeSpans.MS,
                50 * TimeSpans.MS,
                5 * TimeSpans.MS,
                5 * TimeSpans.MS,
                2 * TimeSpans.SECOND,
                1500 * TimeSpans.MS,
                10 * TimeSpans.SECOND,
                6 * TimeSpans.SECOND,
                2 * TimeSpans.SECOND,
                4 * TimeSpans.SECOND,
                1500 * TimeSpans.MS,
                700 * TimeSpans.MS,
                400 * TimeSpans.MS,
                TimeSpans.SECOND,
                10 * TimeSpans.SECOND,
                0.99);
    }

    /** Returns a copy with the delays of another day. */
    public InvariantBounds withDelays(long longestLinkDelay, long longestLoopDelay) {
        return new InvariantBounds(
                classes,
                answerSlack,
                reactionTime,
                socketSlack,
                longestLinkDelay,
                longestLoopDelay,
                drainGrace,
                tipAfter,
                askWithin,
                callDeliveryLimit,
                watchDeliveryLimit,
                reloadDeliveryLimit,
                longestDeadline,
                killAfter,
                connectsAfterTerm,
                maxRetryAfter,
                recovery,
                servedShare);
    }

    /** Returns a copy with another time within which a sidecar has to call discovery. */
    public InvariantBounds withAskWithin(long within) {
        return new InvariantBounds(
                classes,
                answerSlack,
                reactionTime,
                socketSlack,
                linkDelay,
                loopDelay,
                drainGrace,
                tipAfter,
                within,
                callDeliveryLimit,
                watchDeliveryLimit,
                reloadDeliveryLimit,
                longestDeadline,
                killAfter,
                connectsAfterTerm,
                maxRetryAfter,
                recovery,
                servedShare);
    }

    /** Returns a copy with another time from the delivery of a drain to the last send. */
    public InvariantBounds withDrainGrace(long grace) {
        return new InvariantBounds(
                classes,
                answerSlack,
                reactionTime,
                socketSlack,
                linkDelay,
                loopDelay,
                grace,
                tipAfter,
                askWithin,
                callDeliveryLimit,
                watchDeliveryLimit,
                reloadDeliveryLimit,
                longestDeadline,
                killAfter,
                connectsAfterTerm,
                maxRetryAfter,
                recovery,
                servedShare);
    }

    /**
     * Returns a copy with another window for the classes whose repeats are detected only within a
     * zone.
     */
    public InvariantBounds withWindowOfZones(long window) {
        List<ClassRule> changed =
                classes.stream()
                        .map(
                                each ->
                                        each.repeats() == Repeats.WITHIN_ZONE
                                                ? new ClassRule(each.name(), each.repeats(), window)
                                                : each)
                        .toList();
        return new InvariantBounds(
                changed,
                answerSlack,
                reactionTime,
                socketSlack,
                linkDelay,
                loopDelay,
                drainGrace,
                tipAfter,
                askWithin,
                callDeliveryLimit,
                watchDeliveryLimit,
                reloadDeliveryLimit,
                longestDeadline,
                killAfter,
                connectsAfterTerm,
                maxRetryAfter,
                recovery,
                servedShare);
    }

    /** Returns a copy with another longest deadline. */
    public InvariantBounds withLongestDeadline(long longest) {
        return new InvariantBounds(
                classes,
                answerSlack,
                reactionTime,
                socketSlack,
                linkDelay,
                loopDelay,
                drainGrace,
                tipAfter,
                askWithin,
                callDeliveryLimit,
                watchDeliveryLimit,
                reloadDeliveryLimit,
                longest,
                killAfter,
                connectsAfterTerm,
                maxRetryAfter,
                recovery,
                servedShare);
    }

    /** Returns a copy with another longest Retry-After. */
    public InvariantBounds withMaxRetryAfter(long maximum) {
        return new InvariantBounds(
                classes,
                answerSlack,
                reactionTime,
                socketSlack,
                linkDelay,
                loopDelay,
                drainGrace,
                tipAfter,
                askWithin,
                callDeliveryLimit,
                watchDeliveryLimit,
                reloadDeliveryLimit,
                longestDeadline,
                killAfter,
                connectsAfterTerm,
                maximum,
                recovery,
                servedShare);
    }

    ClassRule classOf(ClientAttempt attempt) {
        return classes.get(attempt.requestClass());
    }
}
