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
 * All of it at one moment: holders, the store's record, what is on its way. Not changed once it is
 * made.
 */
final class LeaseModel {
    /** What a step does; in the order in which they are tried. */
    enum Kind {
        ARRIVES,
        LOST,
        UNANSWERED,
        DELAYED,
        DOUBLED,
        WAKES,
        CHECKS,
        BEGINS,
        REACHES,
        LEAVES,
        GIVES_UP,
        ASKS_AGAIN,
        HEARS,
        DISCONNECTS,
        CONNECTS,
        STOPS,
        GOES_ON,
        TICK
    }

    /** One event; the message is null where it is about none. */
    record Step(Kind kind, int holder, ModelMessage message) {}

    /** A write that changed the holder; the later, the newer. */
    private record TakeOver(int holder, long token) {}

    /** Stands in a key for a tick that there is none of; no real one is ahead of now. */
    private static final int ABSENT_TICKS = 9;

    /** A version that no sound lease expects: the write is done whatever the store has. */
    private static final long WHATEVER = -2;

    private final ExplorationScope scope;
    private final ModelHolder[] holders;
    private final List<ModelMessage> messages;
    private final List<TakeOver> takeOvers;
    private int tick;
    private VersionedLease record;
    private int faults;
    private int leaves;
    private int again;

    /** The newest that the fenced thing has taken: its token, and which take-over it came from. */
    private long taken;

    private int takenFrom = ModelHolder.NONE;

    /** What is broken; null for nothing. */
    private String violation;

    /** All ask at once; the first one has the lease already where the scope says so. */
    LeaseModel(ExplorationScope scope) {
        this.scope = scope;
        holders = new ModelHolder[scope.rates().length()];
        messages = new ArrayList<>();
        takeOvers = new ArrayList<>();
        faults = scope.faults();
        leaves = scope.leaves();
        again = scope.again();
        for (int i = 0; i < holders.length; i++) {
            holders[i] = new ModelHolder(scope, i);
            seek(holders[i]);
        }
        while (scope.held() && holders[0].lease.grant() == null) {
            take(
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
        leaves = before.leaves;
        again = before.again;
        taken = before.taken;
        takenFrom = before.takenFrom;
        if (touched >= 0) {
            holders[touched] = holders[touched].copy();
        }
    }

    String violation() {
        return violation;
    }

    private long now(ModelHolder holder) {
        return ExplorationScope.START + (long) tick * holder.rate;
    }

    /** The line isn't trusted: everyone is told at once to be in front. */
    private void seek(ModelHolder holder) {
        holder.lease.acquire(now(holder));
        holder.lease.onHeadOfQueue(now(holder));
        collect(holder);
    }

    private void collect(ModelHolder holder) {
        messages.addAll(holder.sent);
        holder.sent.clear();
    }

    List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        boolean canWait = true;
        for (ModelMessage message : messages.stream().distinct().toList()) {
            if (message.isRequest() || !holders[message.holder()].stopped) {
                canWait &= message.late();
                steps.add(new Step(Kind.ARRIVES, message.holder(), message));
                if (faults > 0 && !message.late()) {
                    faultsOf(message, steps);
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
                stepsOf(holder, steps);
            }
        }
        if (canWait) {
            steps.add(new Step(Kind.TICK, ModelHolder.NONE, null));
        }
        return steps;
    }

    private void faultsOf(ModelMessage message, List<Step> steps) {
        List<Kind> faults =
                message.isRequest()
                        ? List.of(Kind.LOST, Kind.UNANSWERED, Kind.DELAYED, Kind.DOUBLED)
                        : List.of(Kind.DELAYED);
        int holder = message.holder();
        faults.stream()
                .filter(fault -> scope.has(fault, holder))
                .forEach(fault -> steps.add(new Step(fault, holder, message)));
    }

    private void stepsOf(ModelHolder holder, List<Step> steps) {
        LeaseState state = holder.lease.state();
        boolean isIdle = holder.isIdle(tick);
        boolean isAway = state == LeaseState.LOST || state == LeaseState.RELEASED;
        add(steps, Kind.WAKES, holder, now(holder) >= holder.wakeAt);
        add(
                steps,
                Kind.CHECKS,
                holder,
                isIdle && readings(holder).anyMatch(at -> holder.lease.mayStart(at, 0)));
        add(steps, Kind.BEGINS, holder, holder.permittedAtTick != ModelHolder.NONE);
        add(steps, Kind.REACHES, holder, holder.tokenInFlight != ModelHolder.NONE);
        add(steps, Kind.LEAVES, holder, leaves > 0 && isIdle && state != LeaseState.RELEASED);
        add(
                steps,
                Kind.GIVES_UP,
                holder,
                leaves > 0
                        && !isIdle
                        && state != LeaseState.RELEASED
                        && holder.permittedAtTick == ModelHolder.NONE);
        add(steps, Kind.ASKS_AGAIN, holder, again > 0 && isAway);
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
                faults > 0 && holder.connected && scope.has(Kind.DISCONNECTS, holder.index));
        add(steps, Kind.CONNECTS, holder, !holder.connected);
        add(steps, Kind.STOPS, holder, faults > 0 && scope.has(Kind.STOPS, holder.index));
    }

    private static void add(List<Step> steps, Kind kind, ModelHolder holder, boolean possible) {
        if (possible) {
            steps.add(new Step(kind, holder.index, null));
        }
    }

    LeaseModel after(Step step) {
        LeaseModel next = new LeaseModel(this, step.holder);
        next.take(step.kind, step.holder < 0 ? null : next.holders[step.holder], step.message);
        return next;
    }

    private void take(Kind kind, ModelHolder holder, ModelMessage message) {
        if (message != null) {
            messages.remove(message);
            takeMessage(kind, holder, message);
        } else if (holder != null) {
            takeHolder(kind, holder);
        } else {
            tick++;
        }
        if (holder != null) {
            collect(holder);
        }
    }

    /** An event of a message on its way. */
    private void takeMessage(Kind kind, ModelHolder holder, ModelMessage message) {
        switch (kind) {
            case ARRIVES -> {
                if (message.isRequest()) {
                    messages.add(applyToStore(message));
                } else {
                    deliver(holder, message);
                }
            }
            case LOST -> fault(message);
            case UNANSWERED -> {
                applyToStore(message);
                fault(message);
            }
            case DELAYED -> {
                faults--;
                messages.add(message.delayed());
            }
            case DOUBLED -> {
                faults--;
                messages.add(message.delayed());
                messages.add(applyToStore(message));
            }
            default -> throw new IllegalArgumentException("not of a message: " + kind);
        }
    }

    /** An event of a holder itself. */
    private void takeHolder(Kind kind, ModelHolder holder) {
        switch (kind) {
            case WAKES -> holder.lease.onTimer(now(holder));
            case CHECKS -> check(holder);
            case BEGINS -> begin(holder);
            case REACHES -> reach(holder);
            case LEAVES -> {
                leaves--;
                holder.lease.release(now(holder));
            }
            case GIVES_UP -> {
                leaves--;
                holder.lease.releaseAfterGracePeriod(now(holder));
            }
            case ASKS_AGAIN -> {
                again--;
                seek(holder);
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
            default -> throw new IllegalArgumentException("not of a holder: " + kind);
        }
    }

    private void fault(ModelMessage message) {
        faults--;
        messages.add(message.answer(ModelMessage.Kind.UNKNOWN, 0, null));
    }

    /** What the store does of a request: one at a time, and at once. */
    private ModelMessage applyToStore(ModelMessage request) {
        if (request.kind() == ModelMessage.Kind.READ) {
            return request.answer(ModelMessage.Kind.RECORD, 0, record);
        }
        long version = record == null ? -1 : record.version();
        if (request.version() != version && request.version() != WHATEVER) {
            return request.answer(ModelMessage.Kind.CONFLICT, 0, null);
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
        return request.answer(ModelMessage.Kind.WRITTEN, record.version(), null);
    }

    /** A holder may pause after it reads its clock, so a record's time is told as old as may be. */
    private void deliver(ModelHolder holder, ModelMessage answer) {
        long now = now(holder);
        long question = answer.question();
        switch (answer.kind()) {
            case RECORD ->
                    holder.lease.onRead(now - ExplorationScope.OLD, question, answer.entry());
            case WRITTEN -> holder.lease.onWritten(now, question, answer.version());
            case CONFLICT -> holder.lease.onConflict(now, question);
            default -> holder.lease.onOutcomeUnknown(now, question);
        }
    }

    /** What a holder may take the time to be. */
    private LongStream readings(ModelHolder holder) {
        return LongStream.of(now(holder), now(holder) - ExplorationScope.OLD);
    }

    private void check(ModelHolder holder) {
        Permission allowed =
                readings(holder)
                        .mapToObj(reading -> holder.lease.tryStart(reading, 0))
                        .filter(Objects::nonNull)
                        .findFirst()
                        .orElseThrow();
        if (allowed instanceof Permission.FencedPermission act) {
            holder.tokenInFlight = act.token();
        } else {
            holder.permittedAtTick = tick;
        }
    }

    private void begin(ModelHolder holder) {
        holder.permittedAtTick = ModelHolder.NONE;
        holder.startedAtTick = tick;
        for (ModelHolder other : holders) {
            if (other != holder && other.isOperating(tick)) {
                violation =
                        ModelHolder.name(holder.index)
                                + " acts while "
                                + ModelHolder.name(other.index)
                                + " does";
            }
        }
    }

    private void reach(ModelHolder holder) {
        int from = takeOvers.lastIndexOf(new TakeOver(holder.index, holder.tokenInFlight));
        if (holder.tokenInFlight >= taken) {
            if (from < takenFrom) {
                violation =
                        "an act of "
                                + ModelHolder.name(holder.index)
                                + " is taken after one of a newer holder";
            }
            taken = holder.tokenInFlight;
            takenFrom = from;
        }
        holder.tokenInFlight = ModelHolder.NONE;
    }

    /** The same for worlds that differ only in which of two like holders is which. */
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
                .append(leaves)
                .append(again)
                .append(' ')
                .append(taken)
                .append(' ')
                .append(takenFrom)
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

    /** In an order of their own: the model's messages have none. */
    private void writeMessages(LeaseFields fields, StringBuilder key, int... rank) {
        int start = key.length();
        List<String> sent = new ArrayList<>();
        for (ModelMessage message : messages) {
            key.append(message.kind().ordinal())
                    .append(message.late())
                    .append(rank[message.holder()]);
            fields.version(message.version());
            fields.question(message.holder(), message.question());
            fields.entry(message.entry());
            sent.add(key.substring(start));
            key.setLength(start);
        }
        sent.sort(null);
        key.append(sent);
    }

    /** A sentence for a story. */
    String describe(Step step) {
        if (step.kind == Kind.TICK) {
            return "tick " + tick + ": time goes on";
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
