package appleridge.simulator;

import appleridge.config.PolicySettingsParser;
import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestInfo;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Dispatches the events of a batch to load-balancing policies, one for each simulated sidecar. The
 * policies share no state. Not thread-safe.
 */
final class PolicyHost {
    /** The number of endpoint lists that can be defined at a time, numbered from 0. */
    private static final int MAX_ENDPOINT_LISTS = 16;

    /** Bounds the memory that a frame can claim by a stated count, before its entries are read. */
    private static final int MAX_INITIAL_CAPACITY = 1024;

    private final Map<Integer, LoadBalancingPolicy> policies = new HashMap<>();
    private final List<List<UpstreamHost>> endpointLists = new ArrayList<>();
    private final ReplyFrame replies;

    PolicyHost(ReplyFrame replies) {
        this.replies = replies;
        for (int i = 0; i < MAX_ENDPOINT_LISTS; i++) {
            endpointLists.add(null);
        }
    }

    /**
     * Dispatches the events of one frame.
     *
     * @param now the simulated clock, in nanoseconds
     * @param records the number of events that the frame states
     * @throws MalformedFrameException if the frame violates the wire protocol
     */
    void handleBatch(long now, long records, FrameReader in) {
        for (long i = 0; i < records; i++) {
            handleEvent(now, in.nextRecord(), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new MalformedFrameException(
                    "bytes left over after the last of " + records + " records");
        }
    }

    private void handleEvent(long now, int code, FrameReader in) {
        switch (code) {
            case WireCodes.PROVISION -> provision(now, in);
            case WireCodes.ENDPOINT_UPDATE -> updateEndpoints(now, in);
            case WireCodes.REQUEST -> request(now, in);
            case WireCodes.RESPONSE_STARTED ->
                    policy(in)
                            .onResponseStarted(
                                    now, in.u32(), in.u8(), in.upstream(), in.nanos("timeTaken"));
            case WireCodes.ATTEMPT_ENDED ->
                    policy(in)
                            .onAttemptEnded(
                                    now,
                                    in.u32(),
                                    in.u8(),
                                    in.upstream(),
                                    WireCodes.outcome(in),
                                    in.nanos("timeTaken"),
                                    in.u8() != 0,
                                    in.loadReport());
            case WireCodes.CLIENT_DISCONNECTED -> policy(in).onClientDisconnected(now, in.u32());
            case WireCodes.TIMER -> policy(in).onTimer(now, in.i64());
            case WireCodes.HEALTH_CHECK_RESULT ->
                    policy(in)
                            .onHealthCheckResult(
                                    now,
                                    in.upstream(),
                                    WireCodes.outcome(in),
                                    in.nanos("timeTaken"),
                                    in.loadReport());
            case WireCodes.GOSSIP -> policy(in).onGossip(now, in.u16(), in.bytes(in.u16()));
            case WireCodes.REMOVE -> policies.remove(in.u16());
            case WireCodes.DEFINE_LIST -> defineList(in);
            default ->
                    throw new MalformedFrameException(
                            "unknown event code " + code + " at byte " + in.recordStart());
        }
    }

    private LoadBalancingPolicy policy(FrameReader in) {
        int sidecar = in.u16();
        LoadBalancingPolicy policy = policies.get(sidecar);
        if (policy == null) {
            throw new MalformedFrameException(
                    "event for unknown instance " + sidecar + " at byte " + in.recordStart());
        }
        return policy;
    }

    private void provision(long now, FrameReader in) {
        int sidecar = in.u16();
        long seed = in.i64();
        PolicySettings settings = PolicySettingsParser.parse(in.text(in.u32()));
        LoadBalancingPolicy policy =
                new SymmetricRoundRobinPolicy(settings, seed, replies.actionsOf(sidecar));
        policies.put(sidecar, policy);
        policy.start(now);
    }

    private void updateEndpoints(long now, FrameReader in) {
        LoadBalancingPolicy policy = policy(in);
        UpdateKind kind = WireCodes.updateKind(in);
        in.i64();
        long number = in.u32();
        if (kind == UpdateKind.FAILURE) {
            policy.onEndpointUpdate(now, kind, List.of());
            return;
        }
        if (number >= MAX_ENDPOINT_LISTS || endpointLists.get((int) number) == null) {
            throw new MalformedFrameException(
                    "unknown list number " + number + " at byte " + in.recordStart());
        }
        policy.onEndpointUpdate(now, kind, endpointLists.get((int) number));
    }

    private void request(long now, FrameReader in) {
        LoadBalancingPolicy policy = policy(in);
        long id = in.u32();
        int requestClass = in.u8();
        int tenant = in.u16();
        long key = in.i64();
        long remainingNanos = in.nanos("left");
        long costHintNanos = in.nanos("costGuess");
        int flags = in.u8();
        policy.onRequest(
                now,
                new RequestInfo(
                        id,
                        requestClass,
                        tenant,
                        key,
                        remainingNanos,
                        (flags & WireCodes.HAS_COST_HINT) != 0 ? costHintNanos : 0,
                        (flags & WireCodes.CLIENT_RETRY) != 0,
                        (flags & WireCodes.WRITE) != 0));
    }

    private void defineList(FrameReader in) {
        long number = in.u32();
        if (number >= MAX_ENDPOINT_LISTS) {
            throw new MalformedFrameException(
                    "list number " + number + " out of range at byte " + in.recordStart());
        }
        long count = in.u32();
        List<UpstreamHost> entries = new ArrayList<>((int) Math.min(count, MAX_INITIAL_CAPACITY));
        for (long i = 0; i < count; i++) {
            entries.add(
                    new UpstreamHost(
                            in.upstream(),
                            in.u8(),
                            in.u16(),
                            in.u16(),
                            WireCodes.hostState(in),
                            in.f32(),
                            in.nanos("lastStart")));
        }
        endpointLists.set((int) number, entries);
    }
}
