package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.ConnectException;

/**
 * Probes the readiness endpoint of one sidecar, each time on a new connection: often until it is
 * ready, then at a longer interval, and most often after SIGTERM.
 */
final class ReadinessProbe {
    private static final long INTERVAL_NANOS = 100 * Site.MS;
    private static final long READY_INTERVAL_NANOS = 1300 * Site.MS;
    private static final long TERMINATING_INTERVAL_NANOS = 60 * Site.MS;
    private static final String REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n" + "Connection: close\r\n\r\n";

    private final Day day;
    private final Host host;
    private final ProcessSlot slot;
    private Simulation.Event next;
    private Probe probe;

    ReadinessProbe(Day day, Host host, ProcessSlot slot) {
        this.day = day;
        this.host = host;
        this.slot = slot;
    }

    /** Starts probing, or starts anew after a state change. */
    void begin() {
        stop();
        scheduleProbe(INTERVAL_NANOS);
    }

    void stop() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        if (probe != null) {
            probe.end();
            probe = null;
        }
    }

    private void scheduleProbe(long wait) {
        next =
                day.after(
                        wait,
                        () -> {
                            stop();
                            if (!slot.isProbed()) {
                                return;
                            }
                            probe = new Probe();
                            probe.connect();
                            scheduleProbe(
                                    slot.isTerminating()
                                            ? TERMINATING_INTERVAL_NANOS
                                            : slot.isUsable()
                                                    ? READY_INTERVAL_NANOS
                                                    : INTERVAL_NANOS);
                        });
    }

    private final class Probe implements SimSocket.Events {
        private final HttpReader reader = new HttpReader(true);
        private SimSocket socket;
        private long startedAt;

        void connect() {
            startedAt = day.now();
            try {
                socket = host.connect(slot.address(), this);
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
                day.evidence.connectRefused(slot.name(), startedAt);
            }
        }

        @Override
        public void connected() {
            try {
                new Outbox(socket).send(REQUEST);
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
                            day.evidence.readinessAnswered(slot.name(), reader.status(), sentAt);
                        }
                        if (reader.isWhole() && reader.status() == 200) {
                            slot.becameReady();
                        }
                    }
                }
            } catch (IOException e) {
                end();
            }
        }
    }
}
