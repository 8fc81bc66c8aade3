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
 * Hands the events of a batch to the policy instances that they name, one for each simulated
 * sidecar. It decides nothing and shares nothing between them. Not thread-safe.
 */
final class PolicyHost {
    /** Lists of endpoints that can be defined at a time; they are numbered from 0. */
    private static final int MAX_LISTS = 16;

    /** Entries for which room is made by what a frame states alone, without having read them. */
    private static final int MAX_INITIAL_CAPACITY = 1024;

    private final Map<Integer, LoadBalancingPolicy> instances = new HashMap<>();
    private final List<List<UpstreamHost>> lists = new ArrayList<>();
    private final ReplyFrame replies;

    PolicyHost(ReplyFrame replies) {
        this.replies = replies;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    /**
     * Hands out the events of one frame.
     *
     * @param now the simulated clock, in nanoseconds
     * @param records how many events the frame states
     * @throws MalformedFrameException if the frame breaks the format
     */
    void batch(long now, long records, FrameReader in) {
        for (long i = 0; i < records; i++) {
            event(now, in.nextRecord(), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new MalformedFrameException(
                    "bytes left over after the last of " + records + " records");
        }
    }

    private void event(long now, int code, FrameReader in) {
        switch (code) {
            case WireCodes.PROVISION -> provision(now, in);
            case WireCodes.ENDPOINT_UPDATE -> updateEndpoints(now, in);
            case WireCodes.REQUEST -> request(now, in);
            case WireCodes.RESPONSE_STARTED ->
                    instance(in)
                            .onResponseStarted(
                                    now, in.u32(), in.u8(), in.upstream(), in.time("timeTaken"));
            case WireCodes.ATTEMPT_ENDED ->
                    instance(in)
                            .onAttemptEnded(
                                    now,
                                    in.u32(),
                                    in.u8(),
                                    in.upstream(),
                                    WireCodes.outcome(in),
                                    in.time("timeTaken"),
                                    in.u8() != 0,
                                    in.report());
            case WireCodes.CLIENT_DISCONNECTED -> instance(in).onClientDisconnected(now, in.u32());
            case WireCodes.TIMER -> instance(in).onTimer(now, in.i64());
            case WireCodes.HEALTH_CHECK_RESULT ->
                    instance(in)
                            .onHealthCheckResult(
                                    now,
                                    in.upstream(),
                                    WireCodes.outcome(in),
                                    in.time("timeTaken"),
                                    in.report());
            case WireCodes.GOSSIP -> instance(in).onGossip(now, in.u16(), in.bytes(in.u16()));
            case WireCodes.REMOVE -> instances.remove(in.u16());
            case WireCodes.DEFINE_LIST -> defineList(in);
            default ->
                    throw new MalformedFrameException(
                            "unknown event code " + code + " at byte " + in.recordStart());
        }
    }

    private LoadBalancingPolicy instance(FrameReader in) {
        int sidecar = in.u16();
        LoadBalancingPolicy instance = instances.get(sidecar);
        if (instance == null) {
            throw new MalformedFrameException(
                    "event for unknown instance " + sidecar + " at byte " + in.recordStart());
        }
        return instance;
    }

    private void provision(long now, FrameReader in) {
        int sidecar = in.u16();
        long seed = in.i64();
        PolicySettings settings = PolicySettingsParser.parse(in.text(in.u32()));
        LoadBalancingPolicy instance =
                new SymmetricRoundRobinPolicy(settings, seed, replies.sink(sidecar));
        instances.put(sidecar, instance);
        instance.start(now);
    }

    private void updateEndpoints(long now, FrameReader in) {
        LoadBalancingPolicy instance = instance(in);
        UpdateKind kind = WireCodes.updateKind(in);
        in.i64();
        long number = in.u32();
        if (kind == UpdateKind.FAILURE) {
            instance.onEndpointUpdate(now, kind, List.of());
            return;
        }
        if (number >= MAX_LISTS || lists.get((int) number) == null) {
            throw new MalformedFrameException(
                    "unknown list number " + number + " at byte " + in.recordStart());
        }
        instance.onEndpointUpdate(now, kind, lists.get((int) number));
    }

    private void request(long now, FrameReader in) {
        LoadBalancingPolicy instance = instance(in);
        long id = in.u32();
        int requestClass = in.u8();
        int tenant = in.u16();
        long key = in.i64();
        long remainingNanos = in.time("left");
        long costHintNanos = in.time("costGuess");
        int flags = in.u8();
        instance.onRequest(
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
        if (number >= MAX_LISTS) {
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
                            in.time("lastStart")));
        }
        lists.set((int) number, entries);
    }
}
