package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts the outcomes of the well-behaved clients' requests, as clients and servers see them. */
public final class RequestCounts implements DayListener {
    private final Set<String> open = new HashSet<>();
    private final Map<String, Integer> arrived = new HashMap<>();
    private long asked;
    private long served;
    private long refused;
    private long failed;
    private long left;
    private long attempts;
    private long resends;

    /** Returns the counts so far. */
    public Counts counts() {
        return new Counts(asked, served, refused, failed, left, attempts, resends);
    }

    @Override
    public void requestStarted(ClientAttempt attempt) {
        if (arrived.putIfAbsent(attempt.id(), 0) == null) {
            asked++;
        }
        open.add(attempt.id());
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        if (open.remove(id)) {
            if (status == 200) {
                served++;
            } else if (status == 429 || status == 503) {
                refused++;
            } else {
                failed++;
            }
        }
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        if (open.remove(id)) {
            failed++;
        }
    }

    @Override
    public void clientGaveUp(String id) {
        if (open.remove(id)) {
            left++;
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
        Integer before = arrived.get(id);
        if (before != null) {
            arrived.put(id, before + 1);
            attempts++;
            resends += before > 0 ? 1 : 0;
        }
    }
}
