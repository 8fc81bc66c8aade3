package appleridge.loadbalancing;

import java.nio.ByteBuffer;

/**
 * Notes by which sidecars share first-hand evidence against a host, and the budget for them. A note
 * is eight bytes, big-endian: the host's id shifted left by 16 bits, and the evidence's weight in
 * the low 16 bits. Notes of peers are never passed on.
 */
final class GossipNotes {
    private static final int NOTE_BYTES = 8;
    private static final int WEIGHT_BITS = 16;
    private static final long WEIGHT_MASK = (1 << WEIGHT_BITS) - 1;

    /** Bytes that all peers together may be sent per own request: few beside a request's own. */
    private static final double BYTES_PER_REQUEST = 128;

    /** Notes that may be saved up. */
    private static final double MAX_TOKENS = 2;

    private final PolicyActions actions;
    private final boolean enabled;
    private final double tokensPerRequest;
    private double tokens;

    GossipNotes(PolicySettings settings, PolicyActions actions) {
        this.actions = actions;
        this.enabled = settings.capabilities().gossip() && settings.replicas() > 1;
        this.tokensPerRequest = BYTES_PER_REQUEST / NOTE_BYTES / settings.replicas();
    }

    /** A new request earns its part of the budget. */
    void onRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + tokensPerRequest);
    }

    /** Sends a note to all peers, unless the budget is spent or the host forbids gossip. */
    void broadcast(long hostId, int weight) {
        if (tokens >= 1 && enabled) {
            tokens--;
            long note = hostId << WEIGHT_BITS | weight;
            actions.sendGossip(
                    PolicyActions.ALL_PEERS, ByteBuffer.allocate(NOTE_BYTES).putLong(note).array());
        }
    }

    /** Whether a peer's message has the form of a note; anything else is to be ignored. */
    static boolean isNote(byte[] message) {
        return message.length == NOTE_BYTES;
    }

    static long hostId(byte[] note) {
        return ByteBuffer.wrap(note).getLong() >>> WEIGHT_BITS;
    }

    static long weight(byte[] note) {
        return ByteBuffer.wrap(note).getLong() & WEIGHT_MASK;
    }
}
