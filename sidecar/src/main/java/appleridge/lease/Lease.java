package appleridge.lease;

/**
 * One process's part in one lease: a state machine on one thread, told what happens with the time
 * of it, by a clock that also counts while the process or its machine stands still. Times never
 * fall by more than the guard of the terms, which is also how old they may be.
 *
 * <p>Nothing rests on the store's sessions. A record in it says who holds; it is written only if
 * its version is still the one known. A write that was answered lets the holder act for a little
 * less than the term, from before its request; others take a record over only once they have seen
 * it unchanged for a little more.
 */
public final class Lease {
    private static final long NEVER = Long.MAX_VALUE;

    /** An open question, or the last write; of a read there is no next record. */
    private record Asked(long question, long at, VersionedLease next) {}

    private final LeaseParameters terms;
    private final String holder;
    private final String nonce;
    private final LeaseActions actions;
    private LeaseState state = LeaseState.RELEASED;
    private TransitionCause why = TransitionCause.NONE;
    private Grant grant;
    private boolean connected = true;
    private boolean inFront;
    private long questions;

    /** The last question before the lease was asked for. */
    private long soughtAt;

    /**
     * Null for none. There is one at most, so that no answer can tell of an older record than one
     * before.
     */
    private Asked open;

    private Asked lastWrite;

    /** The newest record known, and since when; null for none. */
    private VersionedLease seen;

    private long seenSince;

    /** Whether the store has told so since anything happened that may have changed it. */
    private boolean current;

    /** No act of ours before: those of the holder before may go on until then. */
    private long actFrom;

    /** Whether a record of ours is to be marked as released, and not before when. */
    private boolean giving;

    private long giveAt;
    private long askAt;
    private long idleAt = NEVER;
    private long wakeAt = NEVER;

    /** With a nonce that no other lease has, of this process or another, now or ever. */
    public Lease(LeaseParameters terms, String holder, String nonce, LeaseActions actions) {
        this.terms = terms;
        this.holder = holder;
        this.nonce = nonce;
        this.actions = actions;
    }

    /** Asks for the lease; without effect where it is asked for or held already. */
    public void seek(long now) {
        if (state == LeaseState.RELEASED || state == LeaseState.LOST) {
            state = LeaseState.SEEKING;
            why = TransitionCause.NONE;
            current = false;
            soughtAt = questions;
            actions.line(true);
        }
        go(now);
    }

    /**
     * The line says that it is this one's turn. That is believed for load alone, never for safety.
     */
    public void inFront(long now) {
        inFront = state == LeaseState.SEEKING || state == LeaseState.REFUSING;
        go(now);
    }

    /** The record may have changed: worth a read, and no more than that. */
    public void changed(long now) {
        current = false;
        go(now);
    }

    /** The record as it was at some time since the question; null for none. */
    public void read(long now, long question, VersionedLease orNull) {
        if (answers(question)) {
            current = true;
            if (orNull == null ? seen != null : isOlder(orNull)) {
                refuse(now, orNull == null ? TransitionCause.WIPED : TransitionCause.RESTORED);
            } else if (orNull != null) {
                see(now, orNull);
            }
        }
        go(now);
    }

    /** The write was done, and made this version. */
    public void written(long now, long question, long version) {
        Asked write = open;
        if (answers(question)) {
            VersionedLease next = write.next;
            current = true;
            see(
                    now,
                    new VersionedLease(
                            version,
                            next.token(),
                            holder,
                            next.nonce(),
                            next.term(),
                            next.released()));
        }
        go(now);
    }

    /**
     * The version was another. Danger: it may be that the write itself, sent twice, had made it so.
     */
    public void conflicted(long now, long question) {
        if (answers(question)) {
            doubt(TransitionCause.UNKNOWN);
        }
        go(now);
    }

    /** Whether the question reached the store isn't known. */
    public void unknown(long now, long question) {
        Asked asked = open;
        if (answers(question)) {
            // Danger: a store that turns away at once would be asked without end.
            askAt = asked.at + terms.renewEvery() / 4;
            doubt(TransitionCause.UNKNOWN);
        }
        go(now);
    }

    /** Nothing can be asked until told otherwise, and what was asked may be done or not. */
    public void disconnected(long now) {
        connected = false;
        open = null;
        doubt(TransitionCause.DISCONNECTED);
        go(now);
    }

    /** The store can be asked again. That proves nothing of who holds. */
    public void connected(long now) {
        connected = true;
        current = false;
        go(now);
    }

    /** The time asked for by {@code wakeAt}, or any other. */
    public void time(long now) {
        go(now);
    }

    /** The holder has ended all acts and begins no more: the next one may begin at once. */
    public void release(long now) {
        leave(now, now, TransitionCause.RELEASED);
    }

    /**
     * The holder begins nothing more; acts that it has begun are waited out before another may
     * begin.
     */
    public void giveUp(long now) {
        leave(now, now + terms.actsOut(), TransitionCause.RELEASED);
    }

    /** The holder has nothing to do: it gives up after that time, unless an act begins before. */
    public void idle(long now, long after) {
        idleAt = grant == null ? NEVER : now + after;
        go(now);
    }

    /**
     * Whether an act may begin now that ends within that time. To be asked when it begins, not
     * before.
     */
    public boolean mayBegin(long now, long lasting) {
        return grant != null
                && now >= grant.from()
                && lasting >= 0
                && lasting <= grant.until() - now
                && (terms.fenced() || lasting <= terms.longestAct());
    }

    /** The right to begin an act at once; null if it may not begin. */
    public Permission begin(long now, long lasting) {
        if (!mayBegin(now, lasting)) {
            return null;
        }
        idleAt = NEVER;
        return terms.fenced()
                ? new Permission.FencedPermission(grant.token())
                : new Permission.TimedPermission(grant.token(), grant.until());
    }

    public LeaseState state() {
        return state;
    }

    /** What the last change of state came from. */
    public TransitionCause why() {
        return why;
    }

    /** Null for none. */
    public Grant grant() {
        return grant;
    }

    /** The newest record known, for operators; null for none. */
    public VersionedLease seen() {
        return seen;
    }

    /** Whether the store has yet to be told that the lease was given away. */
    public boolean isGiving() {
        return giving;
    }

    /** Danger: the answer to a question that was given up tells of a time before other answers. */
    private boolean answers(long question) {
        boolean answers = open != null && open.question == question;
        open = answers ? null : open;
        return answers;
    }

    /**
     * Danger: in a store that was restored tokens would come twice. One with a higher token was
     * reset; after one that can't grow the next would run back.
     */
    private boolean isOlder(VersionedLease entry) {
        return entry.token() < 0
                || entry.token() == Long.MAX_VALUE
                || seen != null
                        && (entry.token() < seen.token()
                                || entry.token() == seen.token()
                                        && (entry.version() < seen.version()
                                                || !process(entry).equals(process(seen))));
    }

    private static String process(VersionedLease entry) {
        return entry.nonce().substring(0, Math.max(0, entry.nonce().lastIndexOf('/')));
    }

    private boolean isOurs(VersionedLease entry) {
        return entry != null && process(entry).equals(nonce);
    }

    private void see(long now, VersionedLease entry) {
        if (!entry.equals(seen)) {
            seen = entry;
            seenSince = now;
        }
        if (state == LeaseState.REFUSING) {
            state = LeaseState.SEEKING;
            why = TransitionCause.NONE;
        }
        // Danger: what was written before a loss must not bring back a grant that was called off.
        boolean proven =
                lastWrite != null
                        && lastWrite.question > soughtAt
                        && entry.nonce().equals(lastWrite.next.nonce());
        if (entry.released()) {
            giving = giving && !isOurs(entry);
        } else if (proven && !giving && (state == LeaseState.SEEKING || grant != null)) {
            grant(now);
        } else if (grant != null && isOurs(entry)) {
            state = LeaseState.HELD;
            why = TransitionCause.NONE;
        }
        if (grant != null && (entry.released() || !isOurs(entry))) {
            lose(TransitionCause.TAKEN);
        }
    }

    private void grant(long now) {
        long until = lastWrite.at + terms.actFor();
        boolean known = grant != null && until <= grant.until() && state == LeaseState.HELD;
        if (until <= now || known) {
            return;
        }
        if (grant == null) {
            inFront = false;
            actions.line(false);
        }
        state = LeaseState.HELD;
        why = TransitionCause.NONE;
        grant = new Grant(lastWrite.next.token(), actFrom, until);
        actions.granted(grant);
    }

    private void doubt(TransitionCause cause) {
        current = false;
        if (state == LeaseState.HELD) {
            state = LeaseState.DOUBTFUL;
            why = cause;
        }
    }

    private void lose(TransitionCause cause) {
        state = LeaseState.LOST;
        why = cause;
        grant = null;
        idleAt = NEVER;
        actions.stopNow(cause);
    }

    private void refuse(long now, TransitionCause cause) {
        giving = false;
        if (grant != null) {
            lose(cause);
            state = LeaseState.SEEKING;
            actions.line(true);
        }
        if (state != LeaseState.RELEASED && state != LeaseState.LOST) {
            state = LeaseState.REFUSING;
            why = cause;
            askAt = now + terms.term();
        }
    }

    private void leave(long now, long notBefore, TransitionCause cause) {
        if (state == LeaseState.SEEKING || state == LeaseState.REFUSING) {
            actions.line(false);
        }
        if (state != LeaseState.RELEASED) {
            state = LeaseState.RELEASED;
            why = cause;
            grant = null;
            inFront = false;
            idleAt = NEVER;
            giving = lastWrite != null;
            // Danger: acts of the holder before may still go on; the next one wouldn't wait for
            // them again.
            giveAt = Math.max(notBefore, actFrom);
        }
        go(now);
    }

    /** Does what is due. */
    private void go(long now) {
        if (grant != null && now >= grant.until()) {
            lose(TransitionCause.EXPIRED);
        }
        if (now >= idleAt) {
            actions.stopNow(TransitionCause.IDLE);
            idleAt = NEVER;
            leave(now, now + terms.actsOut(), TransitionCause.IDLE);
            return;
        }
        if (open != null && now >= open.at + terms.renewEvery()) {
            open = null;
            doubt(TransitionCause.UNKNOWN);
        }
        long due = connected && open == null ? due() : NEVER;
        if (now >= due) {
            ask(now);
        }
        long next = Math.min(open == null ? due : open.at + terms.renewEvery(), idleAt);
        next = grant == null ? next : Math.min(next, grant.until());
        if (next != wakeAt) {
            wakeAt = next;
            actions.wakeAt(next);
        }
    }

    /** When to ask the store next. */
    private long due() {
        boolean holds = grant != null;
        boolean seeks = state == LeaseState.SEEKING && inFront;
        if (!giving && !holds && !seeks && state != LeaseState.REFUSING) {
            return NEVER;
        }
        if (!current || state == LeaseState.REFUSING) {
            return askAt;
        }
        if (giving) {
            return isOurs(seen) ? Math.max(giveAt, askAt) : askAt;
        }
        if (holds) {
            return Math.max(grant.until() - terms.actFor() + terms.renewEvery(), askAt);
        }
        return isFree() ? askAt : Math.max(seenSince + terms.keptOutFor(seen.term()), askAt);
    }

    /**
     * A record of our own that we no longer act on needs no wait for its end, only for its acts.
     */
    private boolean isFree() {
        return seen == null || seen.released() || isOurs(seen);
    }

    private void ask(long now) {
        if (!current || state == LeaseState.REFUSING) {
            open = new Asked(++questions, now, null);
            actions.read(questions);
            return;
        }
        if (giving && !isOurs(seen)) {
            giving = false;
            return;
        }
        long token = seen == null ? 1 : seen.token() + (giving || grant != null ? 0 : 1);
        if (!giving && grant == null) {
            actFrom = now + (seen == null || seen.released() ? 0 : terms.actsOut());
        }
        questions++;
        open =
                new Asked(
                        questions,
                        now,
                        new VersionedLease(
                                0, token, holder, nonce + "/" + questions, terms.term(), giving));
        lastWrite = open;
        actions.write(questions, seen == null ? -1 : seen.version(), open.next);
    }
}
