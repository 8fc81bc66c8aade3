package appleridge.testbed.coordination;

import appleridge.testbed.standin.LoopbackRegistry;
import appleridge.testbed.standin.RealTime;
import appleridge.testbed.standin.StandInListener;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Records the requests and answers that clients and order servers report. Accessed on the site's
 * loop.
 */
final class Traffic implements StandInListener {
    /** An answered request: the time of the answer, its status and the duration, in nanoseconds. */
    record Answer(long at, int status, long took) {}

    private record Open(long at, String wish) {}

    private final RealTime time;
    private final Consumer<Arrival> arrivals;
    private final Map<String, Open> open = new HashMap<>();
    private final Map<Ending, Integer> endings = new HashMap<>();
    private final List<Answer> answers = new ArrayList<>();
    private int sent;
    private int crashedServers;

    Traffic(RealTime time, Consumer<Arrival> arrivals) {
        this.time = time;
        this.arrivals = arrivals;
    }

    int sent() {
        return sent;
    }

    int crashedServers() {
        return crashedServers;
    }

    List<Answer> answers() {
        return answers;
    }

    /** The number of requests that ended without an answer, by how they ended. */
    Map<Ending, Integer> endings() {
        return endings;
    }

    int openNow() {
        return open.size();
    }

    @Override
    public void asks(Ask ask) {
        sent++;
        open.put(ask.id(), new Open(ask.at(), ask.wish()));
    }

    @Override
    public void answered(String id, int status, String body, long at) {
        Open request = open.remove(id);
        if (request != null) {
            answers.add(new Answer(at, status, at - request.at));
        }
    }

    @Override
    public void ended(String id, Ending how, long at) {
        open.remove(id);
        endings.merge(how, 1, Integer::sum);
    }

    @Override
    public void arrived(Arrival arrival) {
        arrivals.accept(arrival);
    }

    @Override
    public void fellOver(String server, long at) {
        crashedServers++;
    }

    long now() {
        return time.nanos();
    }

    @Override
    public void taken(String id, long at) {}

    @Override
    public void sentAgain(String id, long at) {}

    @Override
    public void unasked(String connection, long at) {}

    @Override
    public void badClient(String what, String how, boolean served) {}

    @Override
    public void started(String server, boolean cold, long at) {}

    @Override
    public void made(String server, String id, String body) {}

    @Override
    public void changed(String server, LoopbackRegistry.State state, long at) {}

    @Override
    public void told(String server, LoopbackRegistry.State state, long at) {}
}
