package appleridge.loadbalancing;

import java.nio.ByteBuffer;

/**
 * Encodes and sends the gossip messages, called notes, by which sidecars share first-hand evidence
 * against a host, within a budget. A note has eight bytes, big-endian: the host's id shifted left
 * by 16 bits, and the weight of the evidence in the low 16 bits. Notes from peers are not
 * forwarded.
 */
final class GossipNotes {
    private static final int NOTE_BYTES = 8;
    private static final int WEIGHT_BITS = 16;
    private static final long WEIGHT_MASK = (1 << WEIGHT_BITS) - 1;

    /**
     * Bytes that may be sent to all peers together per request of this sidecar: few compared with
     * the request itself.
     */
    private static final double BYTES_PER_REQUEST = 128;

    /** Limit of the budget, in notes to all peers. */
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

    /** Adds one request's share to the budget. */
    void onRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + tokensPerRequest);
    }

    /**
     * Sends a note to all peers, unless the budget is spent or the embedder does not support
     * gossip.
     */
    void broadcast(long hostId, int weight) {
        if (tokens >= 1 && enabled) {
            tokens--;
            long note = hostId << WEIGHT_BITS | weight;
            actions.sendGossip(
                    PolicyActions.ALL_PEERS, ByteBuffer.allocate(NOTE_BYTES).putLong(note).array());
        }
    }

    /** Whether a peer's message has the size of a note; any other message must be ignored. */
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
