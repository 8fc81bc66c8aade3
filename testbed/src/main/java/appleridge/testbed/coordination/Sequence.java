package appleridge.testbed.coordination;

import appleridge.testbed.standin.LoopbackServer;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * What one order server may go through; at the end of each it, or another in its place, is ready
 * again.
 */
enum Sequence {
    /** The session ends and the process goes on answering; later it has a session again. */
    VANISH {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            end(slot, random);
            away(random);
            slot.register();
        }
    },
    /** It says that it is terminating, then ends, and another one starts elsewhere. */
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
    /** It says that it is terminating and then thinks better of it. */
    WAVER {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            slot.change(slot.node().terminating());
            pause(random, 0, 3500);
            slot.change(slot.node());
        }
    },
    /** Its node goes and comes back up to ten times, for less than a second each; same process. */
    FLAP {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            for (int left = 1 + random.nextInt(10); left > 0; left--) {
                end(slot, random);
                pause(random, 0, 900);
                slot.register();
                pause(random, 0, 500);
            }
            if (random.nextBoolean()) {
                end(slot, random);
                away(random);
                slot.register();
            }
        }
    },
    /** It is started again and again at its address. */
    RESTARTS {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException, ExecutionException {
            for (int left = 1 + random.nextInt(4); left > 0; left--) {
                slot.crash();
                end(slot, random);
                pause(random, 0, 900);
                slot.startProcess(true, true);
                slot.register();
                pause(random, 0, 500);
            }
        }
    },
    /** Its process dies and its session lives on for a while. */
    CRASH {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException, ExecutionException {
            slot.crash();
            pause(random, 200, 4000);
            end(slot, random);
            pause(random, 0, 3000);
            slot.startProcess(true, false);
            slot.register();
        }
    },
    /** Another one takes its address and its node's name before the old node has vanished. */
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
    /**
     * Its node says another address from now on, and the process at the old one goes on answering.
     */
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
    /** Its node can't be read for a while. */
    GARBLED {
        @Override
        void play(ProcessSlot slot, SplittableRandom random)
                throws IOException, InterruptedException {
            slot.garble();
            away(random);
            slot.change(slot.node());
        }
    };

    /** Long enough that a late request would be seen: drains allow 2 s. */
    private static final int MIN_AWAY_MILLIS = 2300;

    private static final int MAX_AWAY_MILLIS = 4000;

    abstract void play(ProcessSlot slot, SplittableRandom random)
            throws IOException, InterruptedException, ExecutionException;

    private static void end(ProcessSlot slot, SplittableRandom random) {
        if (random.nextBoolean()) {
            slot.expire();
        } else {
            slot.leave();
        }
    }

    private static void away(SplittableRandom random) throws InterruptedException {
        pause(random, MIN_AWAY_MILLIS, MAX_AWAY_MILLIS);
    }

    private static void pause(SplittableRandom random, int leastMillis, int mostMillis)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(leastMillis, mostMillis + 1));
    }
}
