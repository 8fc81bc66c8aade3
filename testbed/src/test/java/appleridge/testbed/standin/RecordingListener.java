package appleridge.testbed.standin;

import java.util.ArrayList;
import java.util.List;

/** Records the events of stand-ins, one line each. */
final class RecordingListener implements StandInListener {
    final List<String> lines = new ArrayList<>();

    @Override
    public void asks(Ask ask) {
        lines.add("asks " + ask.id());
    }

    @Override
    public void taken(String id, long at) {
        lines.add("taken " + id);
    }

    @Override
    public void answered(String id, int status, String body, long at) {
        lines.add("answered " + id + " " + status + " " + body);
    }

    @Override
    public void sentAgain(String id, long at) {
        lines.add("sent again " + id);
    }

    @Override
    public void ended(String id, Ending how, long at) {
        lines.add("ended " + id + " " + how);
    }

    @Override
    public void unasked(String connection, long at) {
        lines.add("unasked");
    }

    @Override
    public void badClient(String what, String how, boolean served) {
        lines.add(what + ": " + how);
    }

    @Override
    public void started(String server, boolean cold, long at) {
        lines.add("started " + server);
    }

    @Override
    public void arrived(Arrival arrival) {
        lines.add("arrived " + arrival.id() + (arrival.turnedAway() ? ", turned away" : ""));
    }

    @Override
    public void made(String server, String id, String body) {
        lines.add("made " + id);
    }

    @Override
    public void fellOver(String server, long at) {
        lines.add("fell over " + server);
    }

    @Override
    public void changed(String server, LoopbackRegistry.State state, long at) {
        lines.add("changed " + server + " " + state);
    }

    @Override
    public void told(String server, LoopbackRegistry.State state, long at) {
        lines.add("told " + server + " " + state);
    }
}
