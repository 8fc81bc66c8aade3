package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The usual clients' requests of a day, with what is known of each. Read by the rules, written here
 * alone.
 */
final class Requests {
    private final Map<String, AttemptRecord> all = new LinkedHashMap<>();
    private final Alarms alarms;
    private final SidecarIncarnations lives;

    Requests(Alarms alarms, SidecarIncarnations lives) {
        this.alarms = alarms;
        this.lives = lives;
    }

    /** Null for an id that no usual client has used. */
    AttemptRecord find(String id) {
        return all.get(id);
    }

    Collection<AttemptRecord> all() {
        return all.values();
    }

    /** Those that a life of a sidecar has taken and not answered. */
    List<AttemptRecord> open(String sidecar, int life) {
        List<AttemptRecord> open = new ArrayList<>();
        for (AttemptRecord each : all.values()) {
            if (each.isOpen() && each.life == life && each.asking.sidecar().equals(sidecar)) {
                open.add(each);
            }
        }
        return open;
    }

    /** What must be known before the rules look at an event. */
    DayListener opening() {
        return new Opening();
    }

    /** What may be noted only after they have looked at it. */
    DayListener closing() {
        return new Closing();
    }

    private final class Opening implements DayListener {
        @Override
        public void requestStarted(ClientAttempt asking) {
            AttemptRecord before = all.get(asking.id());
            if (before == null) {
                all.put(asking.id(), new AttemptRecord(asking));
            } else {
                // A client sends once more what has crossed the end of its connection.
                before.stage = AttemptRecord.Stage.UNTAKEN;
                before.takenAt = AttemptRecord.NEVER;
                before.brokenAt = AttemptRecord.NEVER;
            }
        }

        @Override
        public void requestSent(String id) {
            AttemptRecord request = all.get(id);
            if (request != null && request.stage == AttemptRecord.Stage.UNTAKEN) {
                request.stage = AttemptRecord.Stage.TAKEN;
                request.takenAt = alarms.now();
                request.life = lives.current(request.asking.sidecar());
            }
        }

        @Override
        public void serverReadId(
                String server, int life, String sidecar, String id, long firstByteSentAt) {
            AttemptRecord request = all.get(id);
            if (request != null) {
                request.sent.add(new RequestCopy(server, life, firstByteSentAt));
            }
        }

        @Override
        public void serverReceived(
                String server,
                int life,
                String sidecar,
                String id,
                long firstByteSentAt,
                long lastByteSentAt,
                long work) {
            AttemptRecord request = all.get(id);
            if (request == null) {
                return;
            }
            RequestCopy copy = null;
            for (RequestCopy each : request.sent) {
                if (!each.arrived
                        && each.life == life
                        && each.firstByteAt == firstByteSentAt
                        && each.server.equals(server)) {
                    copy = each;
                    break;
                }
            }
            if (copy == null) {
                copy = new RequestCopy(server, life, firstByteSentAt);
            } else {
                request.sent.remove(copy);
            }
            copy.arrived = true;
            copy.lastByteAt = lastByteSentAt;
            // Last in the list is the one that has just arrived, which the rules look at.
            request.sent.add(copy);
        }

        @Override
        public void serverDidNotRun(String server, int life, String id) {
            AttemptRecord request = all.get(id);
            if (request == null) {
                return;
            }
            for (int i = request.sent.size() - 1; i >= 0; i--) {
                RequestCopy each = request.sent.get(i);
                if (!each.notRun && each.life == life && each.server.equals(server)) {
                    each.notRun = true;
                    return;
                }
            }
        }

        @Override
        public void serverAnswered(String server, int life, String id, String body) {
            AttemptRecord request = all.get(id);
            if (request != null) {
                request.made.add(body);
            }
        }

        @Override
        public void faultStruck(String kind, String at, String id) {
            AttemptRecord request = id == null ? null : all.get(id);
            if (request != null) {
                request.struck = true;
            }
        }
    }

    private final class Closing implements DayListener {
        @Override
        public void answered(
                String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
            AttemptRecord request = all.get(id);
            if (request != null && request.stage != AttemptRecord.Stage.ANSWERED) {
                request.stage = AttemptRecord.Stage.ANSWERED;
                request.status = status;
                request.answeredAt = lastByteSentAt;
            }
        }

        @Override
        public void answerBroken(String id, String how, boolean begun) {
            AttemptRecord request = all.get(id);
            if (request != null
                    && (request.isOpen() || request.stage == AttemptRecord.Stage.UNTAKEN)) {
                request.stage = AttemptRecord.Stage.BROKEN;
                request.brokenAt = alarms.now();
            }
        }

        @Override
        public void clientGaveUp(String id) {
            AttemptRecord request = all.get(id);
            if (request != null
                    && (request.isOpen() || request.stage == AttemptRecord.Stage.UNTAKEN)) {
                request.stage = AttemptRecord.Stage.LEFT;
                request.leftAt = alarms.now();
            }
        }
    }
}
