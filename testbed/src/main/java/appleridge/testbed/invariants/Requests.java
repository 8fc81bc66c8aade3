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
    private final ScheduledChecks checks;
    private final SidecarIncarnations incarnations;

    Requests(ScheduledChecks checks, SidecarIncarnations incarnations) {
        this.checks = checks;
        this.incarnations = incarnations;
    }

    /** Null for an id that no usual client has used. */
    AttemptRecord find(String id) {
        return all.get(id);
    }

    Collection<AttemptRecord> all() {
        return all.values();
    }

    /** Those that a life of a sidecar has taken and not answered. */
    List<AttemptRecord> open(String sidecar, int incarnation) {
        List<AttemptRecord> open = new ArrayList<>();
        for (AttemptRecord each : all.values()) {
            if (each.isOpen()
                    && each.incarnation == incarnation
                    && each.attempt.sidecar().equals(sidecar)) {
                open.add(each);
            }
        }
        return open;
    }

    /** What must be known before the rules look at an event. */
    DayListener beforeRules() {
        return new BeforeRules();
    }

    /** What may be noted only after they have looked at it. */
    DayListener afterRules() {
        return new AfterRules();
    }

    private final class BeforeRules implements DayListener {
        @Override
        public void requestStarted(ClientAttempt attempt) {
            AttemptRecord before = all.get(attempt.id());
            if (before == null) {
                all.put(attempt.id(), new AttemptRecord(attempt));
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
                request.takenAt = checks.now();
                request.incarnation = incarnations.current(request.attempt.sidecar());
            }
        }

        @Override
        public void serverReadId(
                String server, int incarnation, String sidecar, String id, long firstByteSentAt) {
            AttemptRecord request = all.get(id);
            if (request != null) {
                request.copies.add(new RequestCopy(server, incarnation, firstByteSentAt));
            }
        }

        @Override
        public void serverReceived(
                String server,
                int incarnation,
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
            for (RequestCopy each : request.copies) {
                if (!each.complete
                        && each.incarnation == incarnation
                        && each.firstByteAt == firstByteSentAt
                        && each.server.equals(server)) {
                    copy = each;
                    break;
                }
            }
            if (copy == null) {
                copy = new RequestCopy(server, incarnation, firstByteSentAt);
            } else {
                request.copies.remove(copy);
            }
            copy.complete = true;
            copy.lastByteAt = lastByteSentAt;
            // Last in the list is the one that has just arrived, which the rules look at.
            request.copies.add(copy);
        }

        @Override
        public void serverDidNotRun(String server, int incarnation, String id) {
            AttemptRecord request = all.get(id);
            if (request == null) {
                return;
            }
            for (int i = request.copies.size() - 1; i >= 0; i--) {
                RequestCopy each = request.copies.get(i);
                if (!each.notRun && each.incarnation == incarnation && each.server.equals(server)) {
                    each.notRun = true;
                    return;
                }
            }
        }

        @Override
        public void serverAnswered(String server, int incarnation, String id, String body) {
            AttemptRecord request = all.get(id);
            if (request != null) {
                request.serverBodies.add(body);
            }
        }

        @Override
        public void faultStruck(String kind, String at, String id) {
            AttemptRecord request = id == null ? null : all.get(id);
            if (request != null) {
                request.struckByFault = true;
            }
        }
    }

    private final class AfterRules implements DayListener {
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
                request.brokenAt = checks.now();
            }
        }

        @Override
        public void clientGaveUp(String id) {
            AttemptRecord request = all.get(id);
            if (request != null
                    && (request.isOpen() || request.stage == AttemptRecord.Stage.UNTAKEN)) {
                request.stage = AttemptRecord.Stage.LEFT;
                request.leftAt = checks.now();
            }
        }
    }
}
