package appleridge.testbed.invariants;

import java.util.List;

/**
 * The figures of the rules; times in nanoseconds.
 *
 * @param classes what each class of request allows, by its place
 * @param answerSlack by how much an answer may be later than the deadline
 * @param reactionTime time within which the sidecar does what has been decided, or follows what it
 *     has heard
 * @param socketSlack by how much each time limit is longer on sockets
 * @param linkDelay the longest way between a client and its sidecar while no trouble of their link
 *     is told: delay, jitter, a segment's retransmission, the passing of a whole message
 * @param loopDelay what work that waits in a sidecar's loop may add to all it does, in a time of no
 *     trouble
 * @param drainGrace from being told of a drain to the last send
 * @param tipAfter the span over which a cold server's work counts
 * @param askWithin a sidecar that neither watched nor asked for so long counts as told
 * @param callDeliveryLimit what discovery has to tell counts as told so long after a call that
 *     doesn't wait
 * @param watchDeliveryLimit and so long after the wait of one that does
 * @param reloadDeliveryLimit and so long after SIGHUP
 * @param longestDeadline the longest that any client waits
 * @param killAfter SIGKILL comes no sooner after SIGTERM than the longest deadline and this
 * @param connectsAfterTerm after SIGTERM clients go on opening connections for so long
 * @param maxRetryAfter the longest that a refusal may say; 0 if it may say nothing
 * @param recovery from the last fault until all that can be served is served
 * @param servedShare the part of it that suffices
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
    /** How far a class's requests may be repeated once one may have run. */
    public enum Repeats {
        /** Freely. */
        FREELY,
        /** Within the window, at servers of the first one's zone. */
        WITHIN_ZONE,
        /** Within the window, at any server. */
        ANYWHERE,
        /** Never. */
        NEVER;

        /** Whether a refusal is harmless although the request may have run. */
        boolean mayBeRefused() {
            return this == FREELY || this == ANYWHERE;
        }
    }

    /** A class of request. */
    public record ClassRule(String name, Repeats repeats, long window) {}

    /** Those of the site, on a day whose network and loops are quick. */
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

    /** The same with the delays of another day. */
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

    /** The same with another time within which a sidecar has to ask. */
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

    /**
     * The same with another window of the classes whose repeats only the servers of a zone drop.
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

    /** The same where clients wait up to another time. */
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

    /** The same with another bound of what refusals may say. */
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
