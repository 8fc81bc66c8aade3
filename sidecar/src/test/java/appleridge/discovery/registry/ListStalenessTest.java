package appleridge.discovery.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import appleridge.request.EndpointSubscription;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Since when a list may lack updates that count as notified. Times are in seconds. */
class ListStalenessTest {
    private static final long NEVER = EndpointSubscription.NOT_STALE;
    private static final double GRACE = 0.7;
    private static final double POLL_INTERVAL = 10;

    private static long nanos(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    private static ListStaleness agent() {
        ListStaleness staleness = new ListStaleness(PollPolicy.AGENT, nanos(5), nanos(GRACE));
        staleness.onListReceived();
        return staleness;
    }

    private static ListStaleness sharedService() {
        return new ListStaleness(
                PollPolicy.sharedService(nanos(POLL_INTERVAL)), nanos(5), nanos(GRACE));
    }

    /** Guards against a cached list that is trusted because the agent does not answer. */
    @Test
    void cachedListBesideAnAgentIsStaleFromTheStartOfTheProcessUntilItAnswers() {
        ListStaleness staleness = new ListStaleness(PollPolicy.AGENT, nanos(5), nanos(GRACE));
        assertEquals(nanos(5), staleness.staleSinceNanos());
        staleness.onCallFailed();
        assertEquals(nanos(5), staleness.staleSinceNanos(), "a failure is no answer");
        staleness.onListReceived();
        assertEquals(NEVER, staleness.staleSinceNanos());
    }

    /** Guards against requests that are rejected beside a service that is polled in time. */
    @Test
    void cachedListOfASharedServiceIsNotStale() {
        assertEquals(NEVER, sharedService().staleSinceNanos());
    }

    /** Guards against a stall that is taken for an outage in which nothing was missed. */
    @ParameterizedTest
    @CsvSource({
        "0.4, true, true, false",
        "9.0, true, true, false",
        "9.0, true, false, false",
        "0.6, false, true, false",
        "0.8, false, true, true",
        "0.4, false, false, true",
    })
    void listBesideAnAgentIsStaleAfterAStallThatNoOpenCallSpans(
            double stall, boolean unanswered, boolean failing, boolean stale) {
        ListStaleness staleness = agent();
        staleness.onStall(
                new ListStaleness.Stall(
                        nanos(20), nanos(20 + stall), nanos(19.9), true, unanswered, failing));
        assertEquals(stale ? nanos(20) : NEVER, staleness.staleSinceNanos());
    }

    /** Guards against a shared service that counts as missed before it had to be polled again. */
    @ParameterizedTest
    @CsvSource({
        "9.0, false, false, 0",
        "10.5, false, false, 29.5",
        "3.9, true, true, 0",
        "8.0, true, true, 24.0",
        "5.0, true, false, 0",
        "7.0, true, false, 25.5",
    })
    void listOfASharedServiceIsStaleOnceUpdatesCountAsNotified(
            double stall, boolean unanswered, boolean watch, double staleSince) {
        ListStaleness staleness = sharedService();
        staleness.onStall(
                new ListStaleness.Stall(
                        nanos(20), nanos(20 + stall), nanos(19.5), watch, unanswered, false));
        assertEquals(staleSince == 0 ? NEVER : nanos(staleSince), staleness.staleSinceNanos());
        staleness.onCallFailed();
        assertEquals(NEVER, staleness.staleSinceNanos(), "it counts anew from the failed call");
    }

    /** Guards against the old registry's list that is trusted for ever beside a silent new one. */
    @Test
    void listIsStaleFourSecondsAfterTheAgentHasChanged() {
        ListStaleness staleness = agent();
        staleness.onRegistrySwitched(nanos(20));
        staleness.onRegistrySwitched(nanos(22));
        assertEquals(nanos(24), staleness.staleSinceNanos());
        staleness.onListReceived();
        assertEquals(NEVER, staleness.staleSinceNanos());
    }
}
