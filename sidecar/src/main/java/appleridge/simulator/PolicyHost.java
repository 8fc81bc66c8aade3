package appleridge.simulator;

import appleridge.config.PolicySettingsParser;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.Outcome;
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
 * Hands the events of a batch to the instances they name. It decides nothing and shares nothing
 * between them.
 */
final class PolicyHost {
    private static final int MAX_LISTS = 16;
    private static final int FIRST_ENTRIES = 1024;

    /** The outcomes, lists and states by their codes on the wire. */
    private static final Outcome[] OUTCOMES = {
        Outcome.OK,
        Outcome.ERROR,
        Outcome.REJECTED,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.RESET,
        Outcome.CANCELLED,
        Outcome.NEVER_SENT
    };

    private static final UpdateKind[] KINDS = {
        UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT, UpdateKind.FAILURE
    };

    private static final HostState[] STATES = {HostState.GONE, HostState.READY, HostState.DRAINING};

    private final Map<Integer, LoadBalancingPolicy> instances = new HashMap<>();
    private final List<List<UpstreamHost>> lists = new ArrayList<>();
    private final ReplyFrame replies;

    PolicyHost(ReplyFrame replies) {
        this.replies = replies;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

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
            case 1 -> provision(now, in);
            case 2 -> membership(now, in);
            case 3 -> submit(now, in);
            case 4 ->
                    instance(in)
                            .onResponseStarted(
                                    now, in.u32(), in.u8(), in.upstream(), in.time("timeTaken"));
            case 5 ->
                    instance(in)
                            .onAttemptEnded(
                                    now,
                                    in.u32(),
                                    in.u8(),
                                    in.upstream(),
                                    in.choice(OUTCOMES, in.u8(), "stateCode"),
                                    in.time("timeTaken"),
                                    in.u8() != 0,
                                    in.report());
            case 6 -> instance(in).onClientDisconnected(now, in.u32());
            case 7 -> instance(in).onTimer(now, in.i64());
            case 8 ->
                    instance(in)
                            .onHealthCheckResult(
                                    now,
                                    in.upstream(),
                                    in.choice(OUTCOMES, in.u8(), "stateCode"),
                                    in.time("timeTaken"),
                                    in.report());
            case 9 -> instance(in).onGossip(now, in.u16(), in.bytes(in.u16()));
            case 10 -> instances.remove(in.u16());
            case 11 -> defineList(in);
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

    private void membership(long now, FrameReader in) {
        LoadBalancingPolicy instance = instance(in);
        UpdateKind kind = in.choice(KINDS, in.u8(), "form");
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

    private void submit(long now, FrameReader in) {
        LoadBalancingPolicy instance = instance(in);
        long id = in.u32();
        int requestClass = in.u8();
        int tenant = in.u16();
        long key = in.i64();
        long left = in.time("left");
        long hint = in.time("costGuess");
        int bits = in.u8();
        instance.onRequest(
                now,
                new RequestInfo(
                        id,
                        requestClass,
                        tenant,
                        key,
                        left,
                        (bits & 1) != 0 ? hint : 0,
                        (bits & 2) != 0,
                        (bits & 4) != 0));
    }

    private void defineList(FrameReader in) {
        long number = in.u32();
        if (number >= MAX_LISTS) {
            throw new MalformedFrameException(
                    "list number " + number + " out of range at byte " + in.recordStart());
        }
        long count = in.u32();
        List<UpstreamHost> entries = new ArrayList<>((int) Math.min(count, FIRST_ENTRIES));
        for (long i = 0; i < count; i++) {
            entries.add(
                    new UpstreamHost(
                            in.upstream(),
                            in.u8(),
                            in.u16(),
                            in.u16(),
                            in.choice(STATES, in.u8(), "status"),
                            in.f32(),
                            in.time("lastStart")));
        }
        lists.set((int) number, entries);
    }
}
