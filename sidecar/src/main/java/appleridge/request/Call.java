package appleridge.request;

import appleridge.loadbalancing.Balancer.Outcome;
import java.util.ArrayList;
import java.util.List;

/** A request that is held, or whose attempts are not all over. */
final class Call {
    final long id;
    final ClientRequest request;
    final Front client;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    Timers.Timer backstop;
    Outcome last;

    /** The attempt whose answer is on the way to the client in pieces; null while there is none. */
    Attempt answering;

    /** Whether a part of it has been let go that is not held here any more. */
    boolean letGo;

    int out;
    boolean over;

    Call(long id, ClientRequest request, Front client, long deadline) {
        this.id = id;
        this.request = request;
        this.client = client;
        this.deadline = deadline;
    }
}
