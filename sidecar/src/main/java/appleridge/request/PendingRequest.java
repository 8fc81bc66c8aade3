package appleridge.request;

import appleridge.loadbalancing.Outcome;
import java.util.ArrayList;
import java.util.List;

/** A request that is held, or whose attempts are not all over. */
final class PendingRequest {
    final long id;
    final ClientRequest request;
    final ResponseSink client;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    Scheduler.ScheduledTask backstop;
    Outcome last;

    /** The attempt whose answer is on the way to the client in pieces; null while there is none. */
    Attempt answering;

    /** Whether a part of it has been let go that is not held here any more. */
    boolean letGo;

    int out;
    boolean over;

    PendingRequest(long id, ClientRequest request, ResponseSink client, long deadline) {
        this.id = id;
        this.request = request;
        this.client = client;
        this.deadline = deadline;
    }
}
