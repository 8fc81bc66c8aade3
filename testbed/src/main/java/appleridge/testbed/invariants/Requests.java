package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The attempts of well-behaved clients of a day, with what is known of each. The rules read them;
 * only the listeners of this class write them, but for the time at which a request was given up.
 */
final class Requests {
    private final Map<String, AttemptRecord> all = new LinkedHashMap<>();
    private final ScheduledChecks checks;
    private final SidecarIncarnations incarnations;

    Requests(ScheduledChecks checks, SidecarIncarnations incarnations) {
        this.checks = checks;
        this.incarnations = incarnations;
    }

    /** Returns null for an id that no well-behaved client has used. */
    AttemptRecord find(String id) {
        return all.get(id);
    }

    Collection<AttemptRecord> all() {
        return all.values();
    }

    /** Returns the requests that this incarnation of a sidecar has accepted and not answered. */
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

    /** Records what the rules need to know before they check an event. */
    DayListener beforeRules() {
        return new BeforeRules();
    }

    /** Records what may be recorded only after the rules have checked the event. */
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
                // The client repeats a request that crossed the close of its connection.
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
            // The copy that has just arrived goes last, where the rules look for it.
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
        public void faultTriggered(String kind, String at, String id) {
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
