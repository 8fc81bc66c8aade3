package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.ConnectException;

/**
 * Asks one sidecar whether it is ready: often until it is, then now and then, and often again when
 * it has been told to end, as one more who comes with a new connection.
 */
final class ReadinessProbe {
    private static final long EVERY = 100 * Site.MS;
    private static final long WHEN_READY = 1300 * Site.MS;
    private static final long WHEN_ENDING = 60 * Site.MS;
    private static final String ASK =
            "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n" + "Connection: close\r\n\r\n";

    private final Day day;
    private final Host host;
    private final ProcessSlot seat;
    private Simulation.Event next;
    private Question question;

    ReadinessProbe(Day day, Host host, ProcessSlot seat) {
        this.day = day;
        this.host = host;
        this.seat = seat;
    }

    /** Begins to ask. */
    void begin() {
        stop();
        ask(EVERY);
    }

    void stop() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        if (question != null) {
            question.end();
            question = null;
        }
    }

    private void ask(long wait) {
        next =
                day.after(
                        wait,
                        () -> {
                            stop();
                            if (!seat.isAsked()) {
                                return;
                            }
                            question = new Question();
                            question.connect();
                            ask(
                                    seat.isLeaving()
                                            ? WHEN_ENDING
                                            : seat.isUsable() ? WHEN_READY : EVERY);
                        });
    }

    private final class Question implements SimSocket.Events {
        private final HttpReader reader = new HttpReader(true);
        private SimSocket socket;
        private long askedAt;

        void connect() {
            askedAt = day.now();
            try {
                socket = host.connect(seat.address(), this);
            } catch (IOException e) {
                socket = null;
            }
        }

        void end() {
            if (socket != null) {
                socket.close();
            }
        }

        @Override
        public void failed(IOException why) {
            if (why instanceof ConnectException) {
                day.evidence.connectRefused(seat.name(), askedAt);
            }
        }

        @Override
        public void connected() {
            try {
                new Outbox(socket).send(ASK);
            } catch (IOException e) {
                end();
            }
        }

        @Override
        public void readable() {
            try {
                while (socket.isOpen() && socket.isReadable()) {
                    int read = reader.read(socket, Integer.MAX_VALUE);
                    if (read <= 0) {
                        end();
                    } else if (reader.advance()) {
                        long sentAt = socket.sentAt();
                        end();
                        if (reader.isWhole()) {
                            day.evidence.readinessAnswered(seat.name(), reader.status(), sentAt);
                        }
                        if (reader.isWhole() && reader.status() == 200) {
                            seat.becameReady();
                        }
                    }
                }
            } catch (IOException e) {
                end();
            }
        }
    }
}
