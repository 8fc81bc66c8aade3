package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;

/**
 * One bad client's connection: it plays its script, and waits for the error or the close that it is
 * owed.
 */
final class BadClient implements SimSocket.Events {
    private static final long OWED = 3 * Site.SECOND;
    private static final long OWED_FOR_MUCH = 6 * Site.SECOND;
    private static final long LEAVES = 7 * Site.SECOND;
    private static final int BULK = 1 << 16;

    private final Day day;
    private final Host host;
    private final ProcessSlot seat;
    private final BadClientKind kind;
    private final String name;
    private final Script script;
    private final Runnable whenEnded;
    private final HttpReader reader = new HttpReader(true);
    private SimSocket socket;
    private Player player;
    private boolean ended;

    /**
     * @param whenEnded told when it has been turned away
     */
    BadClient(
            Day day,
            Host host,
            ProcessSlot seat,
            BadClientKind kind,
            String name,
            Script script,
            Runnable whenEnded) {
        this.day = day;
        this.host = host;
        this.seat = seat;
        this.kind = kind;
        this.name = name;
        this.script = script;
        this.whenEnded = whenEnded;
    }

    void connect() {
        try {
            socket = host.connect(seat.address(), this);
            // Who never reads stays for as long as it is let.
            if (kind != BadClientKind.NEVER_READS) {
                day.after(LEAVES, this::leave);
            }
        } catch (IOException e) {
            // The bad client has no descriptors left, which is nobody's concern.
            ended = true;
        }
    }

    @Override
    public void connected() {
        if (isOwed()) {
            boolean much = kind == BadClientKind.BIG_BODY || kind == BadClientKind.BIG_CHUNKS;
            day.evidence.badClientConnected(name, day.now() + (much ? OWED_FOR_MUCH : OWED));
        }
        player = new Player(day.simulation, socket);
        player.play(script, () -> {});
    }

    /** One that leaves by itself, or never looks, is owed nothing that it could see. */
    private boolean isOwed() {
        return switch (kind) {
            case HALF_CLOSE, HALF_RESET, NEVER_READS -> false;
            default -> true;
        };
    }

    @Override
    public void failed(IOException why) {
        ended = true;
    }

    @Override
    public void writable() {
        if (player != null) {
            player.writable();
        }
    }

    @Override
    public void readable() {
        if (kind == BadClientKind.NEVER_READS) {
            return;
        }
        try {
            while (socket.isOpen() && socket.isReadable()) {
                int read = reader.read(socket, BULK);
                if (read < 0) {
                    end(0);
                    close();
                }
                if (read <= 0) {
                    return;
                }
                answers();
            }
        } catch (IOException e) {
            end(0);
            close();
        }
    }

    private void answers() {
        while (reader.advance()) {
            int status = reader.isBroken() ? 0 : reader.status();
            if (status == 0 || status >= 200) {
                end(status);
            }
            if (reader.isBroken()) {
                close();
                return;
            }
            reader.next();
        }
    }

    /** The first word counts; but an answer that serves it is told whenever it comes. */
    private void end(int status) {
        if (isOwed() && (!ended || status == 200)) {
            day.evidence.badClientEnded(name, status);
        }
        if (!ended) {
            ended = true;
            whenEnded.run();
        }
    }

    /** Long after what it is owed was due: whoever is excused until now need no longer answer. */
    private void leave() {
        if (player != null && !ended && isOwed()) {
            ended = true;
            day.evidence.badClientEnded(name, 0);
        }
        close();
    }

    private void close() {
        if (player != null) {
            player.stop();
        }
        socket.close();
    }
}
