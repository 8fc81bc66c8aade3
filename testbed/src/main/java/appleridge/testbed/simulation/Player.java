package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;

/** Plays scripts on one connection, one after the other, each piece when there is room for it. */
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

    /** Whether all that was to be written is in the socket's buffer. */
    boolean isDone() {
        return script == null;
    }

    /**
     * Told when all is written and the script's end is carried out, unless the connection breaks
     * before.
     */
    void play(Script what, Runnable whenWritten) {
        script = what;
        whenDone = whenWritten;
        next = 0;
        goOn();
    }

    /** The socket has room again. */
    void writable() {
        try {
            if (outbox.flush() && pause == null) {
                goOn();
            }
        } catch (IOException e) {
            stop();
        }
    }

    /** Nothing more is written. */
    void stop() {
        script = null;
        if (pause != null) {
            pause.cancel();
            pause = null;
        }
    }

    private void goOn() {
        while (script != null && outbox.isEmpty() && pause == null) {
            if (next == script.parts().size()) {
                done();
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
                                    goOn();
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

    private void done() {
        Script played = script;
        script = null;
        switch (played.end()) {
            case CLOSE -> socket.close();
            case RESET -> socket.reset();
            default -> {}
        }
        whenDone.run();
    }
}
