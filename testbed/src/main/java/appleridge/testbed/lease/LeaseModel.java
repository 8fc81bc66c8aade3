package appleridge.testbed.lease;

import appleridge.lease.LeaseState;
import appleridge.lease.Permission;
import appleridge.lease.VersionedLease;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.LongStream;

/**
 * A state of the model: the holders, the record in the store, and the messages in flight. Immutable
 * after construction; {@link #after} makes the next state.
 */
final class LeaseModel {
    /** The kinds of events, in the order in which the explorer tries them. */
    enum Kind {
        /** A message reaches its receiver. */
        ARRIVES,
        /** A request is lost before the store executes it. */
        LOST,
        /** The store executes a request, but its response is lost. */
        UNANSWERED,
        /** A message is delayed for any time. */
        DELAYED,
        /** The store executes a request twice, the second time after any delay. */
        DOUBLED,
        /** The timer of a lease fires. */
        WAKES,
        /** A holder asks its lease for the permission to operate. */
        CHECKS,
        /** A permitted operation begins. */
        BEGINS,
        /** A fenced operation reaches the protected resource. */
        REACHES,
        /** An idle holder releases its lease. */
        LEAVES,
        /** A busy holder releases its lease after the grace period. */
        GIVES_UP,
        /** A holder acquires again after it lost or released its lease. */
        ASKS_AGAIN,
        /** A waiter is notified of a change of the record. */
        HEARS,
        /** A holder loses its connection to the store. */
        DISCONNECTS,
        /** A holder is connected to the store again. */
        CONNECTS,
        /** A holder is suspended. */
        STOPS,
        /** A suspended holder resumes. */
        GOES_ON,
        /** Time advances by one tick. */
        TICK
    }

    /** One event; the message is null if the event concerns none. */
    record Step(Kind kind, int holder, ModelMessage message) {}

    /** A write that changed the holder. */
    private record TakeOver(int holder, long token) {}

    /** Written to a key for an absent tick; present ones are never in the future. */
    private static final int ABSENT_TICKS = 9;

    /** An expected version that only a faulty lease uses: the write is unconditional. */
    private static final long ANY_VERSION = -2;

    private final ExplorationScope scope;
    private final ModelHolder[] holders;
    private final List<ModelMessage> messages;
    private final List<TakeOver> takeOvers;
    private int tick;
    private VersionedLease record;
    private int faults;
    private int releases;
    private int reacquisitions;

    /** The newest token that the protected resource has accepted. */
    private long acceptedToken;

    /** Index of the takeover from which the newest accepted operation came. */
    private int acceptedTakeOver = ModelHolder.NONE;

    /** The violation in this state; null if there is none. */
    private String violation;

    /** Creates the initial state: all holders acquire; the first may have the lease already. */
    LeaseModel(ExplorationScope scope) {
        this.scope = scope;
        holders = new ModelHolder[scope.rates().length()];
        messages = new ArrayList<>();
        takeOvers = new ArrayList<>();
        faults = scope.faults();
        releases = scope.releases();
        reacquisitions = scope.reacquisitions();
        for (int i = 0; i < holders.length; i++) {
            holders[i] = new ModelHolder(scope, i);
            acquire(holders[i]);
        }
        while (scope.held() && holders[0].lease.grant() == null) {
            apply(
                    Kind.ARRIVES,
                    holders[0],
                    messages.stream().filter(its -> its.holder() == 0).findFirst().orElseThrow());
        }
    }

    private LeaseModel(LeaseModel before, int touched) {
        scope = before.scope;
        holders = before.holders.clone();
        messages = new ArrayList<>(before.messages);
        takeOvers = new ArrayList<>(before.takeOvers);
        tick = before.tick;
        record = before.record;
        faults = before.faults;
        releases = before.releases;
        reacquisitions = before.reacquisitions;
        acceptedToken = before.acceptedToken;
        acceptedTakeOver = before.acceptedTakeOver;
        if (touched >= 0) {
            holders[touched] = holders[touched].copy();
        }
    }

    String violation() {
        return violation;
    }

    private long now(ModelHolder holder) {
        return ExplorationScope.START_UNITS + (long) tick * holder.unitsPerTick;
    }

    /** Safety must not depend on the queue: each holder is told at once that it is at its head. */
    private void acquire(ModelHolder holder) {
        holder.lease.acquire(now(holder));
        holder.lease.onHeadOfQueue(now(holder));
        collect(holder);
    }

    private void collect(ModelHolder holder) {
        messages.addAll(holder.sent);
        holder.sent.clear();
    }

    /** Returns the possible next events in a fixed order. */
    List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        boolean canWait = true;
        for (ModelMessage message : messages.stream().distinct().toList()) {
            if (message.isRequest() || !holders[message.holder()].stopped) {
                canWait &= message.delayed();
                steps.add(new Step(Kind.ARRIVES, message.holder(), message));
                if (faults > 0 && !message.delayed()) {
                    addFaults(message, steps);
                }
            }
        }
        for (ModelHolder holder : holders) {
            canWait &=
                    holder.permittedAtTick == ModelHolder.NONE
                            || tick < holder.permittedAtTick + scope.pause();
            if (holder.stopped) {
                add(steps, Kind.GOES_ON, holder, true);
            } else {
                canWait &= now(holder) < holder.wakeAt;
                addSteps(holder, steps);
            }
        }
        if (canWait) {
            steps.add(new Step(Kind.TICK, ModelHolder.NONE, null));
        }
        return steps;
    }

    private void addFaults(ModelMessage message, List<Step> steps) {
        List<Kind> faults =
                message.isRequest()
                        ? List.of(Kind.LOST, Kind.UNANSWERED, Kind.DELAYED, Kind.DOUBLED)
                        : List.of(Kind.DELAYED);
        int holder = message.holder();
        faults.stream()
                .filter(fault -> scope.includes(fault, holder))
                .forEach(fault -> steps.add(new Step(fault, holder, message)));
    }

    private void addSteps(ModelHolder holder, List<Step> steps) {
        LeaseState state = holder.lease.state();
        boolean isIdle = holder.isIdle(tick);
        boolean isWithoutLease = state == LeaseState.LOST || state == LeaseState.RELEASED;
        add(steps, Kind.WAKES, holder, now(holder) >= holder.wakeAt);
        add(
                steps,
                Kind.CHECKS,
                holder,
                isIdle && readings(holder).anyMatch(at -> holder.lease.mayStart(at, 0)));
        add(steps, Kind.BEGINS, holder, holder.permittedAtTick != ModelHolder.NONE);
        add(steps, Kind.REACHES, holder, holder.tokenInFlight != ModelHolder.NONE);
        add(steps, Kind.LEAVES, holder, releases > 0 && isIdle && state != LeaseState.RELEASED);
        add(
                steps,
                Kind.GIVES_UP,
                holder,
                releases > 0
                        && !isIdle
                        && state != LeaseState.RELEASED
                        && holder.permittedAtTick == ModelHolder.NONE);
        add(steps, Kind.ASKS_AGAIN, holder, reacquisitions > 0 && isWithoutLease);
        VersionedLease seen = holder.lease.latestRecord();
        add(
                steps,
                Kind.HEARS,
                holder,
                state == LeaseState.SEEKING && seen != null && !seen.equals(record));
        add(
                steps,
                Kind.DISCONNECTS,
                holder,
                faults > 0 && holder.connected && scope.includes(Kind.DISCONNECTS, holder.index));
        add(steps, Kind.CONNECTS, holder, !holder.connected);
        add(steps, Kind.STOPS, holder, faults > 0 && scope.includes(Kind.STOPS, holder.index));
    }

    private static void add(List<Step> steps, Kind kind, ModelHolder holder, boolean possible) {
        if (possible) {
            steps.add(new Step(kind, holder.index, null));
        }
    }

    /** Returns the state after this event. */
    LeaseModel after(Step step) {
        LeaseModel next = new LeaseModel(this, step.holder);
        next.apply(step.kind, step.holder < 0 ? null : next.holders[step.holder], step.message);
        return next;
    }

    private void apply(Kind kind, ModelHolder holder, ModelMessage message) {
        if (message != null) {
            messages.remove(message);
            applyMessageEvent(kind, holder, message);
        } else if (holder != null) {
            applyHolderEvent(kind, holder);
        } else {
            tick++;
        }
        if (holder != null) {
            collect(holder);
        }
    }

    /** Applies an event of a message in flight. */
    private void applyMessageEvent(Kind kind, ModelHolder holder, ModelMessage message) {
        switch (kind) {
            case ARRIVES -> {
                if (message.isRequest()) {
                    messages.add(applyToStore(message));
                } else {
                    deliver(holder, message);
                }
            }
            case LOST -> loseResponse(message);
            case UNANSWERED -> {
                applyToStore(message);
                loseResponse(message);
            }
            case DELAYED -> {
                faults--;
                messages.add(message.asDelayed());
            }
            case DOUBLED -> {
                faults--;
                messages.add(message.asDelayed());
                messages.add(applyToStore(message));
            }
            default -> throw new IllegalArgumentException("not an event of a message: " + kind);
        }
    }

    /** Applies an event of a holder. */
    private void applyHolderEvent(Kind kind, ModelHolder holder) {
        switch (kind) {
            case WAKES -> holder.lease.onTimer(now(holder));
            case CHECKS -> requestPermission(holder);
            case BEGINS -> beginOperation(holder);
            case REACHES -> deliverOperation(holder);
            case LEAVES -> {
                releases--;
                holder.lease.release(now(holder));
            }
            case GIVES_UP -> {
                releases--;
                holder.lease.releaseAfterGracePeriod(now(holder));
            }
            case ASKS_AGAIN -> {
                reacquisitions--;
                acquire(holder);
            }
            case HEARS -> holder.lease.onRecordChanged(now(holder));
            case DISCONNECTS -> {
                faults--;
                holder.connected = false;
                messages.removeIf(its -> its.holder() == holder.index && !its.isRequest());
                holder.lease.onDisconnected(now(holder));
            }
            case CONNECTS -> {
                holder.connected = true;
                holder.lease.onConnected(now(holder));
            }
            case STOPS -> {
                faults--;
                holder.stopped = true;
            }
            case GOES_ON -> holder.stopped = false;
            default -> throw new IllegalArgumentException("not an event of a holder: " + kind);
        }
    }

    private void loseResponse(ModelMessage message) {
        faults--;
        messages.add(message.response(ModelMessage.Kind.UNKNOWN, 0, null));
    }

    /** Executes a request atomically and returns the response. */
    private ModelMessage applyToStore(ModelMessage request) {
        if (request.kind() == ModelMessage.Kind.READ) {
            return request.response(ModelMessage.Kind.RECORD, 0, record);
        }
        long version = record == null ? -1 : record.version();
        if (request.version() != version && request.version() != ANY_VERSION) {
            return request.response(ModelMessage.Kind.CONFLICT, 0, null);
        }
        VersionedLease next = request.entry();
        boolean isRenewal =
                record != null
                        && record.token() == next.token()
                        && record.nonce().charAt(0) == next.nonce().charAt(0);
        if (!isRenewal) {
            takeOvers.add(new TakeOver(request.holder(), next.token()));
        }
        record =
                new VersionedLease(
                        version + 1,
                        next.token(),
                        next.holder(),
                        next.nonce(),
                        next.termNanos(),
                        next.released());
        return request.response(ModelMessage.Kind.WRITTEN, record.version(), null);
    }

    /**
     * Delivers a response. A holder may pause after it reads its clock, so a record arrives with
     * the oldest permitted reading.
     */
    private void deliver(ModelHolder holder, ModelMessage response) {
        long now = now(holder);
        long requestId = response.requestId();
        switch (response.kind()) {
            case RECORD ->
                    holder.lease.onRead(
                            now - ExplorationScope.MAX_READING_AGE_UNITS,
                            requestId,
                            response.entry());
            case WRITTEN -> holder.lease.onWritten(now, requestId, response.version());
            case CONFLICT -> holder.lease.onConflict(now, requestId);
            default -> holder.lease.onOutcomeUnknown(now, requestId);
        }
    }

    /** The newest and the oldest clock reading that a holder may use. */
    private LongStream readings(ModelHolder holder) {
        return LongStream.of(now(holder), now(holder) - ExplorationScope.MAX_READING_AGE_UNITS);
    }

    private void requestPermission(ModelHolder holder) {
        Permission permission =
                readings(holder)
                        .mapToObj(reading -> holder.lease.tryStart(reading, 0))
                        .filter(Objects::nonNull)
                        .findFirst()
                        .orElseThrow();
        if (permission instanceof Permission.FencedPermission fenced) {
            holder.tokenInFlight = fenced.token();
        } else {
            holder.permittedAtTick = tick;
        }
    }

    private void beginOperation(ModelHolder holder) {
        holder.permittedAtTick = ModelHolder.NONE;
        holder.startedAtTick = tick;
        for (ModelHolder other : holders) {
            if (other != holder && other.isOperating(tick)) {
                violation =
                        ModelHolder.name(holder.index)
                                + " operates while "
                                + ModelHolder.name(other.index)
                                + " does";
            }
        }
    }

    private void deliverOperation(ModelHolder holder) {
        int from = takeOvers.lastIndexOf(new TakeOver(holder.index, holder.tokenInFlight));
        if (holder.tokenInFlight >= acceptedToken) {
            if (from < acceptedTakeOver) {
                violation =
                        "an operation of "
                                + ModelHolder.name(holder.index)
                                + " is accepted after one of a newer holder";
            }
            acceptedToken = holder.tokenInFlight;
            acceptedTakeOver = from;
        }
        holder.tokenInFlight = ModelHolder.NONE;
    }

    /**
     * Returns the key of this state with the holders renumbered by {@code rank}. States that differ
     * only in the numbering of holders with equal clock rates have equal keys under some rank.
     */
    String key(int... rank) {
        StringBuilder key = new StringBuilder(500);
        long[] now = Arrays.stream(holders).mapToLong(this::now).toArray();
        LeaseFields fields = new LeaseFields(key, rank, now);
        write(fields, key, rank);
        fields.write();
        write(fields, key, rank);
        return key.toString();
    }

    private void write(LeaseFields fields, StringBuilder key, int... rank) {
        key.append(faults)
                .append(releases)
                .append(reacquisitions)
                .append(' ')
                .append(acceptedToken)
                .append(' ')
                .append(acceptedTakeOver)
                .append(' ');
        fields.entry(record);
        takeOvers.forEach(
                its -> key.append(rank[its.holder]).append(':').append(its.token).append(' '));
        for (int place = 0; place < rank.length; place++) {
            for (ModelHolder holder : holders) {
                if (rank[holder.index] == place) {
                    writeHolder(fields, key, holder);
                }
            }
        }
        writeMessages(fields, key, rank);
    }

    private void writeHolder(LeaseFields fields, StringBuilder key, ModelHolder holder) {
        int permitted =
                holder.permittedAtTick == ModelHolder.NONE
                        ? ABSENT_TICKS
                        : holder.permittedAtTick - tick;
        int started = holder.isOperating(tick) ? holder.startedAtTick - tick : ABSENT_TICKS;
        key.append(holder.connected)
                .append(holder.stopped)
                .append(holder.tokenInFlight)
                .append(' ')
                .append(permitted)
                .append(' ')
                .append(started)
                .append(' ');
        fields.lease(holder.index, holder.lease);
    }

    /** Writes the messages sorted, because their order is not part of the state. */
    private void writeMessages(LeaseFields fields, StringBuilder key, int... rank) {
        int start = key.length();
        List<String> sent = new ArrayList<>();
        for (ModelMessage message : messages) {
            key.append(message.kind().ordinal())
                    .append(message.delayed())
                    .append(rank[message.holder()]);
            fields.version(message.version());
            fields.requestId(message.holder(), message.requestId());
            fields.entry(message.entry());
            sent.add(key.substring(start));
            key.setLength(start);
        }
        sent.sort(null);
        key.append(sent);
    }

    /** Describes an event of this state in one line. */
    String describe(Step step) {
        if (step.kind == Kind.TICK) {
            return "tick " + tick + ": time advances";
        }
        ModelHolder holder = holders[step.holder];
        String kind = step.kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return "tick "
                + tick
                + ": "
                + ModelHolder.name(step.holder)
                + " (its clock "
                + now(holder)
                + ", "
                + holder.lease.state()
                + ") "
                + kind
                + (step.message == null ? "" : ": " + step.message.describe());
    }
}
