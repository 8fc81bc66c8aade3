package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Checks at each step that what a sidecar buffers is within its limit, and that it counts at least
 * the bodies of the requests that its load-balancing policy has not ended. Checks now and then that
 * what it has written and its peers have not read is within the limits, too.
 */
final class BufferRule implements DayListener {
    /** A longer body is passed on in parts, and never held whole. */
    private static final int MAX_HELD_BODY_BYTES = 64 << 10;

    private static final long BACKLOG_CHECK_INTERVAL = 5 * TimeSpans.MS;

    private final RuleContext context;
    private final ResourceProbe probe;
    private final Map<String, Long> keysById = new HashMap<>();
    private final Map<Long, Integer> bodyBytesByKey = new HashMap<>();

    /** The bodies that each sidecar must hold, by the policy's number of the request. */
    private final Map<String, HeldBodies> heldBySidecar = new LinkedHashMap<>();

    private long nextBacklogCheck;

    BufferRule(RuleContext context, ResourceProbe probe) {
        this.context = context;
        this.probe = probe;
    }

    /** The bodies of the open requests of one process, and their sum. */
    private static final class HeldBodies {
        private final Map<Long, Integer> bytesByRequest = new HashMap<>();
        private long bytes;

        void add(long request, int bodyBytes) {
            bytesByRequest.put(request, bodyBytes);
            bytes += bodyBytes;
        }

        void remove(long request) {
            Integer removed = bytesByRequest.remove(request);
            bytes -= removed == null ? 0 : removed;
        }
    }

    @Override
    public void requestStarted(ClientAttempt attempt) {
        keysById.put(attempt.id(), attempt.cookieKey());
    }

    @Override
    public void requestMessage(String id, Message message) {
        Long key = keysById.remove(id);
        if (message.length() <= MAX_HELD_BODY_BYTES) {
            bodyBytesByKey.put(key, message.length());
        }
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        heldBySidecar.put(sidecar, new HeldBodies());
    }

    @Override
    public void moduleAccepted(String sidecar, int incarnation, long moduleId, long key) {
        Integer bytes = bodyBytesByKey.get(key);
        if (bytes != null) {
            held(sidecar).add(moduleId, bytes);
        }
    }

    @Override
    public void moduleRefused(String sidecar, int incarnation, long moduleId) {
        held(sidecar).remove(moduleId);
    }

    @Override
    public void moduleFailed(String sidecar, int incarnation, long moduleId) {
        held(sidecar).remove(moduleId);
    }

    @Override
    public void moduleRequestEnded(String sidecar, int incarnation, long moduleId) {
        held(sidecar).remove(moduleId);
    }

    private HeldBodies held(String sidecar) {
        return heldBySidecar.computeIfAbsent(sidecar, name -> new HeldBodies());
    }

    /** Checks all sidecars; to be called after each step of the simulation. */
    void check(long now) {
        boolean checksBacklogs = now >= nextBacklogCheck;
        if (checksBacklogs) {
            nextBacklogCheck = now + BACKLOG_CHECK_INTERVAL;
        }
        heldBySidecar.forEach(
                (sidecar, held) -> {
                    if (probe.isRunning(sidecar)) {
                        checkBuffered(sidecar, probe.buffers(sidecar), held.bytes);
                        if (checksBacklogs) {
                            checkBacklogs(sidecar, probe.writeBacklogs(sidecar));
                        }
                    }
                });
    }

    private void checkBacklogs(String sidecar, WriteBacklogCounts counts) {
        checkLimit(sidecar, "unread bytes", counts.unread(), counts.unreadLimit());
        checkLimit(sidecar, "unsent bytes", counts.unsent(), counts.unsentLimit());
    }

    private void checkBuffered(String sidecar, BufferCounts counts, long heldBytes) {
        checkLimit(sidecar, "buffered bytes", counts.buffered(), counts.limit());
        if (heldBytes > counts.buffered()) {
            context.findings()
                    .add(
                            Rule.BUFFERS,
                            sidecar,
                            "counts "
                                    + counts.buffered()
                                    + " buffered bytes, and open requests have bodies of "
                                    + heldBytes);
        }
    }

    private void checkLimit(String sidecar, String what, long bytes, long limit) {
        if (bytes > limit) {
            context.findings()
                    .add(Rule.BUFFERS, sidecar, bytes + " " + what + ", the limit is " + limit);
        }
    }
}
