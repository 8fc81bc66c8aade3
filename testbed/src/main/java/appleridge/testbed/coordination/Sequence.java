package appleridge.testbed.coordination;

import appleridge.testbed.standin.LoopbackServer;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A sequence of events in the life of one order server. At the end of each, this server or a
 * replacement is ready again.
 */
enum Sequence {
    /**
     * The session ends while the process goes on answering; later the process opens a new session.
     */
    VANISH {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            endSession(slot, random);
            away(random);
            slot.register();
        }
    },
    /**
     * The server reports that it is terminating, then exits; a replacement starts at another
     * address.
     */
    DRAIN {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException, ExecutionException {
            slot.change(slot.node().terminating());
            away(random);
            slot.leave();
            slot.crash();
            slot.startProcess(true, false);
            slot.register();
        }
    },
    /** The server reports that it is terminating, then that it is ready again. */
    WAVER {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            slot.change(slot.node().terminating());
            pause(random, 0, 3500);
            slot.change(slot.node());
        }
    },
    /** The node vanishes up to ten times, for less than a second each, while the process stays. */
    FLAP {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            for (int left = 1 + random.nextInt(10); left > 0; left--) {
                endSession(slot, random);
                pause(random, 0, 900);
                slot.register();
                pause(random, 0, 500);
            }
            if (random.nextBoolean()) {
                endSession(slot, random);
                away(random);
                slot.register();
            }
        }
    },
    /** The process restarts up to four times at the same address. */
    RESTARTS {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException, ExecutionException {
            for (int left = 1 + random.nextInt(4); left > 0; left--) {
                slot.crash();
                endSession(slot, random);
                pause(random, 0, 900);
                slot.startProcess(true, true);
                slot.register();
                pause(random, 0, 500);
            }
        }
    },
    /** The process crashes and its session outlives it for a while. */
    CRASH {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException, ExecutionException {
            slot.crash();
            pause(random, 200, 4000);
            endSession(slot, random);
            pause(random, 0, 3000);
            slot.startProcess(true, false);
            slot.register();
        }
    },
    /**
     * A new process takes over the address and the node's name before the old session has expired.
     */
    TAKEN {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException, ExecutionException {
            slot.crash();
            try (NodeWriter old = slot.abandon()) {
                slot.startProcess(true, true);
                slot.register();
                pause(random, 0, 2000);
                slot.expire(old);
            }
            pause(random, 0, 2000);
        }
    },
    /** The node changes to another address while the process at the old one goes on answering. */
    MOVES {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException, ExecutionException {
            LoopbackServer old = slot.server();
            slot.startProcess(true, false);
            slot.change(slot.node());
            away(random);
            slot.crash(old);
        }
    },
    /** The node's data is invalid for a while. */
    GARBLED {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            slot.garble();
            away(random);
            slot.change(slot.node());
        }
    };

    /** Exceeds the 2 s within which requests may still arrive, so that a later one is detected. */
    private static final int MIN_AWAY_MILLIS = 2300;

    private static final int MAX_AWAY_MILLIS = 4000;

    abstract void play(ProcessSlot slot, SplittableRandom random)
            throws IOException, InterruptedException, ExecutionException;

    private static void endSession(ProcessSlot slot, SplittableRandom random) {
        if (random.nextBoolean()) {
            slot.expire();
        } else {
            slot.leave();
        }
    }

    private static void away(SplittableRandom random) throws InterruptedException {
        pause(random, MIN_AWAY_MILLIS, MAX_AWAY_MILLIS);
    }

    private static void pause(SplittableRandom random, int minMillis, int maxMillis)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(minMillis, maxMillis + 1));
    }
}
