package appleridge.request;

import java.util.ArrayDeque;

/**
 * Shares out what {@link BufferBudget} can spare for reading long bodies ahead of their upstream
 * host: whole bodies, first come first served. Parts of many bodies would show the end of no
 * client, because that is behind the last byte. Event loop only.
 */
public final class ReadAheadQueue {
    /**
     * What a body gets that is longer than all that can be spared: the client of such a body may
     * have left after the beginning.
     */
    private static final long PARTIAL_BYTES = 1 << 20;

    /**
     * The number of bodies that wait. Each holds its beginning, and what is held for long fills the
     * heap's old generation, whose collections stop the event loop.
     */
    private static final int MAX_WAITING = 16;

    private final BufferBudget budget;
    private final ArrayDeque<Ticket> waiting = new ArrayDeque<>();
    private boolean granting;

    /** Creates an empty queue on a budget. */
    public ReadAheadQueue(BufferBudget budget) {
        this.budget = budget;
    }

    /**
     * Creates a ticket that asks for nothing yet.
     *
     * @param bodyBytes the number of bytes that the whole body needs
     * @param onGranted called when they are reserved after others
     * @param onGivenUp called when they will not be reserved
     */
    public Ticket newTicket(long bodyBytes, Runnable onGranted, Runnable onGivenUp) {
        long bytes = bodyBytes <= budget.maxSpareBytes() ? bodyBytes : PARTIAL_BYTES;
        return new Ticket(bytes, onGranted, onGivenUp);
    }

    /** Gives up the ticket that has waited longest; returns false if none waits. */
    public boolean giveUpFirst() {
        Ticket first = waiting.poll();
        if (first == null) {
            return false;
        }
        first.onGivenUp.run();
        return true;
    }

    /** Reserves what the first tickets need, as far as it can be spared. */
    private void grantNext() {
        if (granting) {
            return;
        }
        granting = true;
        while (!waiting.isEmpty() && waiting.peek().reserve()) {
            waiting.poll().onGranted.run();
        }
        granting = false;
    }

    /** The place of one body in the queue. */
    public final class Ticket {
        private final long wantedBytes;
        private final Runnable onGranted;
        private final Runnable onGivenUp;
        private final BufferBudget.Reservation reservation;
        private boolean requested;

        private Ticket(long wantedBytes, Runnable onGranted, Runnable onGivenUp) {
            this.wantedBytes = wantedBytes;
            this.onGranted = onGranted;
            this.onGivenUp = onGivenUp;
            this.reservation = budget.newAccount().reserve(BufferKind.READ_AHEAD);
        }

        /**
         * Reserves the bytes if that leaves half of what can be spared, and does not wait for them;
         * returns how many are reserved.
         */
        public long requestIfAmple() {
            if (!requested && waiting.isEmpty() && budget.leavesHalfSpare(wantedBytes)) {
                requested = reserve();
            }
            return reservation.bytes();
        }

        /** Asks for the bytes unless that has been done; returns how many are reserved. */
        public long request() {
            if (!requested) {
                requested = true;
                if (!waiting.isEmpty() || !reserve()) {
                    waiting.add(this);
                }
                if (waiting.size() > MAX_WAITING) {
                    giveUpFirst();
                }
            }
            grantNext();
            return reservation.bytes();
        }

        private boolean reserve() {
            return reservation.resizeWithinSpare(wantedBytes);
        }

        /** Gives back all but a number of bytes, and asks for no more. */
        public void shrinkTo(long bytes) {
            requested = true;
            waiting.remove(this);
            if (bytes < reservation.bytes()) {
                reservation.resize(bytes);
            }
            grantNext();
        }
    }
}
