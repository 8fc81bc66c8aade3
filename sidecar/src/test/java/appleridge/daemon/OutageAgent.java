package appleridge.daemon;

import java.io.IOException;
import java.net.Socket;

/**
 * A stand-in for a discovery agent on the sidecar's machine. It answers a watch once its list is
 * newer than the one that the watch names, and every other call at once. While discovery is down it
 * answers as its {@link Outage} says. Thread-safe.
 */
final class OutageAgent implements StubUpstream.Script {
    /** What the agent does with calls while discovery is down. */
    enum Outage {
        /** Takes calls and answers none of them before discovery is back. */
        SILENT,
        /** Resets the connection of each call. */
        RESETS_CALLS,
        /** Answers each call with status 503. */
        SERVER_ERRORS,
        /** Answers each call with a list that can't be read. */
        BROKEN_LISTS,
        /** Sends the first half of each answer, and then nothing. */
        HALF_RESPONSES
    }

    private final int sinceLength = "since=".length();
    private long revision;
    private String list;

    /** Null while discovery is up. */
    private Outage outage;

    /** Creates an agent that is up and has a list of these targets. */
    OutageAgent(long revision, String... targets) {
        setList(revision, targets);
    }

    /** Gives the agent another list. */
    synchronized void setList(long newRevision, String... targets) {
        revision = newRevision;
        list = LoopbackSidecar.list(newRevision, true, targets);
        notifyAll();
    }

    /** Begins an outage. */
    synchronized void beginOutage(Outage kind) {
        outage = kind;
        notifyAll();
    }

    /** Ends the outage: calls that wait are answered at once. */
    synchronized void endOutage() {
        outage = null;
        notifyAll();
    }

    @Override
    public synchronized boolean serve(Socket socket, String request)
            throws IOException, InterruptedException {
        int since = request.indexOf("since=");
        long known =
                since < 0
                        ? Long.MIN_VALUE
                        : Long.parseLong(
                                request.substring(
                                        since + sinceLength, request.indexOf('&', since)));
        while (outage == Outage.SILENT || outage == null && known >= revision) {
            wait();
        }
        if (outage == null) {
            StubUpstream.write(socket, StubUpstream.response("200 OK", list));
            return true;
        }
        return fail(socket);
    }

    private boolean fail(Socket socket) throws IOException {
        String whole = StubUpstream.response("200 OK", list);
        switch (outage) {
            case SERVER_ERRORS ->
                    StubUpstream.write(
                            socket, StubUpstream.response("503 Service Unavailable", ""));
            case BROKEN_LISTS ->
                    StubUpstream.write(socket, StubUpstream.response("200 OK", "{\"rev\":9}"));
            case HALF_RESPONSES ->
                    StubUpstream.write(socket, whole.substring(0, whole.length() / 2));
            default -> {
                return StubUpstream.reset(socket);
            }
        }
        return true;
    }
}
