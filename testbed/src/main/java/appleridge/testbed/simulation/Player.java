package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;

/**
 * Writes scripts to a connection, one at a time: each part after its pause and as the send buffer
 * has room.
 */
final class Player {
    private final Simulation simulation;
    private final SimSocket socket;
    private final Outbox outbox;
    private Script script;
    private int next;
    private Runnable whenDone;
    private Simulation.Event pause;

    Player(Simulation simulation, SimSocket socket) {
        this.simulation = simulation;
        this.socket = socket;
        this.outbox = new Outbox(socket);
    }

    /** Whether no script is being played. */
    boolean isDone() {
        return script == null;
    }

    /**
     * Starts a script. Calls back when all is in the socket's buffer and the script's end has been
     * carried out; never, if the connection breaks before.
     */
    void play(Script newScript, Runnable whenWritten) {
        script = newScript;
        whenDone = whenWritten;
        next = 0;
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
            if (next == script.parts().size()) {
                finish();
                return;
            }
            Script.Part part = script.parts().get(next++);
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
        whenDone.run();
    }
}
