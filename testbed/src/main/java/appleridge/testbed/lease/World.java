package appleridge.testbed.lease;

import appleridge.lease.LeaseState;
import appleridge.lease.Permission;
import appleridge.lease.VersionedLease;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.stream.LongStream;

/**
 * All of it at one moment: holders, the store's record, what is on its way. Not changed once it is
 * made.
 */
final class World {
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
    record Step(Kind kind, int holder, Message message) {}

    /** A write that changed the holder; the later, the newer. */
    private record TakeOver(int holder, long token) {}

    /** A version that no sound lease expects: the write is done whatever the store has. */
    private static final long WHATEVER = -2;

    private final Scope scope;
    private final Holder[] holders;
    private final List<Message> messages;
    private final List<TakeOver> takeOvers;
    private int tick;
    private VersionedLease record;
    private int faults;
    private int leaves;
    private int again;

    /** The newest that the fenced thing has taken: its token, and which take-over it came from. */
    private long taken;

    private int takenFrom = Holder.NONE;

    /** What is broken; null for nothing. */
    private String broken;

    /** All ask at once; the first one has the lease already where the scope says so. */
    World(Scope scope) {
        this.scope = scope;
        holders = new Holder[scope.rates().length()];
        messages = new ArrayList<>();
        takeOvers = new ArrayList<>();
        faults = scope.faults();
        leaves = scope.leaves();
        again = scope.again();
        for (int i = 0; i < holders.length; i++) {
            holders[i] = new Holder(scope, i);
            seek(holders[i]);
        }
        while (scope.held() && holders[0].lease.grant() == null) {
            take(
                    Kind.ARRIVES,
                    holders[0],
                    messages.stream().filter(its -> its.holder() == 0).findFirst().orElseThrow());
        }
    }

    private World(World before, int touched) {
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

    String broken() {
        return broken;
    }

    private long now(Holder holder) {
        return Scope.START + (long) tick * holder.rate;
    }

    /** The line isn't trusted: everyone is told at once to be in front. */
    private void seek(Holder holder) {
        holder.lease.acquire(now(holder));
        holder.lease.onHeadOfQueue(now(holder));
        collect(holder);
    }

    private void collect(Holder holder) {
        messages.addAll(holder.sent);
        holder.sent.clear();
    }

    List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        boolean canWait = true;
        for (Message message : messages.stream().distinct().toList()) {
            if (message.isRequest() || !holders[message.holder()].stopped) {
                canWait &= message.late();
                steps.add(new Step(Kind.ARRIVES, message.holder(), message));
                if (faults > 0 && !message.late()) {
                    faultsOf(message, steps);
                }
            }
        }
        for (Holder holder : holders) {
            canWait &= holder.checked == Holder.NONE || tick < holder.checked + scope.pause();
            if (holder.stopped) {
                add(steps, Kind.GOES_ON, holder, true);
            } else {
                canWait &= now(holder) < holder.wakeAt;
                stepsOf(holder, steps);
            }
        }
        if (canWait) {
            steps.add(new Step(Kind.TICK, Holder.NONE, null));
        }
        return steps;
    }

    private void faultsOf(Message message, List<Step> steps) {
        List<Kind> faults =
                message.isRequest()
                        ? List.of(Kind.LOST, Kind.UNANSWERED, Kind.DELAYED, Kind.DOUBLED)
                        : List.of(Kind.DELAYED);
        int holder = message.holder();
        faults.stream()
                .filter(fault -> scope.has(fault, holder))
                .forEach(fault -> steps.add(new Step(fault, holder, message)));
    }

    private void stepsOf(Holder holder, List<Step> steps) {
        LeaseState state = holder.lease.state();
        boolean isIdle = holder.isIdle(tick);
        boolean isAway = state == LeaseState.LOST || state == LeaseState.RELEASED;
        add(steps, Kind.WAKES, holder, now(holder) >= holder.wakeAt);
        add(
                steps,
                Kind.CHECKS,
                holder,
                isIdle && readings(holder).anyMatch(at -> holder.lease.mayStart(at, 0)));
        add(steps, Kind.BEGINS, holder, holder.checked != Holder.NONE);
        add(steps, Kind.REACHES, holder, holder.carried != Holder.NONE);
        add(steps, Kind.LEAVES, holder, leaves > 0 && isIdle && state != LeaseState.RELEASED);
        add(
                steps,
                Kind.GIVES_UP,
                holder,
                leaves > 0
                        && !isIdle
                        && state != LeaseState.RELEASED
                        && holder.checked == Holder.NONE);
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

    private static void add(List<Step> steps, Kind kind, Holder holder, boolean possible) {
        if (possible) {
            steps.add(new Step(kind, holder.index, null));
        }
    }

    World after(Step step) {
        World next = new World(this, step.holder);
        next.take(step.kind, step.holder < 0 ? null : next.holders[step.holder], step.message);
        return next;
    }

    private void take(Kind kind, Holder holder, Message message) {
        if (message != null) {
            messages.remove(message);
        }
        switch (kind) {
            case ARRIVES -> {
                if (message.isRequest()) {
                    messages.add(stored(message));
                } else {
                    tell(holder, message);
                }
            }
            case LOST -> fault(message);
            case UNANSWERED -> {
                stored(message);
                fault(message);
            }
            case DELAYED -> {
                faults--;
                messages.add(message.delayed());
            }
            case DOUBLED -> {
                faults--;
                messages.add(message.delayed());
                messages.add(stored(message));
            }
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
            default -> tick++;
        }
        if (holder != null) {
            collect(holder);
        }
    }

    private void fault(Message message) {
        faults--;
        messages.add(message.answer(Message.Kind.UNKNOWN, 0, null));
    }

    /** What the store does of a request: one at a time, and at once. */
    private Message stored(Message request) {
        if (request.kind() == Message.Kind.READ) {
            return request.answer(Message.Kind.RECORD, 0, record);
        }
        long version = record == null ? -1 : record.version();
        if (request.version() != version && request.version() != WHATEVER) {
            return request.answer(Message.Kind.CONFLICT, 0, null);
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
        return request.answer(Message.Kind.WRITTEN, record.version(), null);
    }

    /**
     * Danger: a holder that reads the time and then stands still believes that a record came long
     * ago.
     */
    private void tell(Holder holder, Message answer) {
        long now = now(holder);
        long question = answer.question();
        switch (answer.kind()) {
            case RECORD -> holder.lease.onRead(now - Scope.OLD, question, answer.entry());
            case WRITTEN -> holder.lease.onWritten(now, question, answer.version());
            case CONFLICT -> holder.lease.onConflict(now, question);
            default -> holder.lease.onOutcomeUnknown(now, question);
        }
    }

    /** What a holder may take the time to be. */
    private LongStream readings(Holder holder) {
        return LongStream.of(now(holder), now(holder) - Scope.OLD);
    }

    private void check(Holder holder) {
        Permission allowed =
                readings(holder)
                        .mapToObj(reading -> holder.lease.tryStart(reading, 0))
                        .filter(Objects::nonNull)
                        .findFirst()
                        .orElseThrow();
        if (allowed instanceof Permission.FencedPermission act) {
            holder.carried = act.token();
        } else {
            holder.checked = tick;
        }
    }

    private void begin(Holder holder) {
        holder.checked = Holder.NONE;
        holder.begun = tick;
        for (Holder other : holders) {
            if (other != holder && other.acts(tick)) {
                broken =
                        Holder.name(holder.index)
                                + " acts while "
                                + Holder.name(other.index)
                                + " does";
            }
        }
    }

    private void reach(Holder holder) {
        int from = takeOvers.lastIndexOf(new TakeOver(holder.index, holder.carried));
        if (holder.carried >= taken) {
            if (from < takenFrom) {
                broken =
                        "an act of "
                                + Holder.name(holder.index)
                                + " is taken after one of a newer holder";
            }
            taken = holder.carried;
            takenFrom = from;
        }
        holder.carried = Holder.NONE;
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
            for (Holder holder : holders) {
                if (rank[holder.index] == place) {
                    key.append(holder.connected)
                            .append(holder.stopped)
                            .append(holder.carried)
                            .append(' ')
                            .append(holder.checked == Holder.NONE ? 9 : holder.checked - tick)
                            .append(' ')
                            .append(holder.acts(tick) ? holder.begun - tick : 9)
                            .append(' ');
                    fields.lease(holder.index, holder.lease);
                }
            }
        }
        int start = key.length();
        List<String> sent = new ArrayList<>();
        for (Message message : messages) {
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
    String told(Step step) {
        String who = step.holder < 0 ? "" : Holder.name(step.holder);
        Message message = step.message;
        String what =
                message == null
                        ? ""
                        : message.kind()
                                + (message.entry() == null
                                        ? ""
                                        : " "
                                                + message.entry().nonce()
                                                + " token "
                                                + message.entry().token()
                                                + (message.entry().released() ? " released" : ""));
        String clock =
                step.holder < 0
                        ? ""
                        : " (its clock "
                                + now(holders[step.holder])
                                + ", "
                                + holders[step.holder].lease.state()
                                + ")";
        return "tick "
                + tick
                + ": "
                + (step.kind == Kind.TICK
                        ? "time goes on"
                        : who
                                + clock
                                + " "
                                + step.kind
                                        .name()
                                        .toLowerCase(java.util.Locale.ROOT)
                                        .replace('_', ' ')
                                + (what.isEmpty() ? "" : ": " + what));
    }
}
