package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;

/**
 * Writes scripts to a connection, one at a time. Each part is written after its pause, and only as
 * far as the send buffer has room.
 */
final class ScriptWriter {
    private final Simulation simulation;
    private final SimSocket socket;
    private final Outbox outbox;
    private Script script;
    private int nextPart;
    private Runnable onDone;
    private Simulation.Event pause;

    ScriptWriter(Simulation simulation, SimSocket socket) {
        this.simulation = simulation;
        this.socket = socket;
        this.outbox = new Outbox(socket);
    }

    /** Whether no script is being written. */
    boolean isDone() {
        return script == null;
    }

    /**
     * Starts a script. Runs {@code newOnDone} when the last byte is in the send buffer and the
     * connection has been closed or reset as the script requires; never runs it if the connection
     * breaks before that.
     */
    void start(Script newScript, Runnable newOnDone) {
        script = newScript;
        onDone = newOnDone;
        nextPart = 0;
        proceed();
    }

    /** To be called when the socket has room again. */
    void writable() {
        try {
            if (outbox.flush() && pause == null) {
                proceed();
            }
        } catch (IOException e) {
            stop();
        }
    }

    /** Drops the rest of the script. */
    void stop() {
        script = null;
        if (pause != null) {
            pause.cancel();
            pause = null;
        }
    }

    private void proceed() {
        while (script != null && outbox.isEmpty() && pause == null) {
            if (nextPart == script.parts().size()) {
                finish();
                return;
            }
            Script.Part part = script.parts().get(nextPart++);
            if (part.pause() > 0) {
                pause =
                        simulation.after(
                                part.pause(),
                                () -> {
                                    pause = null;
                                    send(part);
                                    proceed();
                                });
            } else {
                send(part);
            }
        }
    }

    private void send(Script.Part part) {
        try {
            if (socket.isOpen()) {
                outbox.send(part.bytes());
            } else {
                stop();
            }
        } catch (IOException e) {
            stop();
        }
    }

    private void finish() {
        Script finished = script;
        script = null;
        switch (finished.end()) {
            case CLOSE -> socket.close();
            case RESET -> socket.reset();
            default -> {}
        }
        onDone.run();
    }
}
