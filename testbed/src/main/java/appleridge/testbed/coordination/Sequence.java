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
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException {
            end(seat, chance);
            away(chance);
            seat.register();
        }
    },
    /** It says that it is terminating, then ends, and another one starts elsewhere. */
    DRAIN {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException, ExecutionException {
            seat.change(seat.node().terminating());
            away(chance);
            seat.leave();
            seat.crash();
            seat.begin(true, false);
            seat.register();
        }
    },
    /** It says that it is terminating and then thinks better of it. */
    WAVER {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException {
            seat.change(seat.node().terminating());
            pause(chance, 0, 3500);
            seat.change(seat.node());
        }
    },
    /** Its node goes and comes back up to ten times, for less than a second each; same process. */
    FLAP {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException {
            for (int left = 1 + chance.nextInt(10); left > 0; left--) {
                end(seat, chance);
                pause(chance, 0, 900);
                seat.register();
                pause(chance, 0, 500);
            }
            if (chance.nextBoolean()) {
                end(seat, chance);
                away(chance);
                seat.register();
            }
        }
    },
    /** It is started again and again at its address. */
    RESTARTS {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException, ExecutionException {
            for (int left = 1 + chance.nextInt(4); left > 0; left--) {
                seat.crash();
                end(seat, chance);
                pause(chance, 0, 900);
                seat.begin(true, true);
                seat.register();
                pause(chance, 0, 500);
            }
        }
    },
    /** Its process dies and its session lives on for a while. */
    CRASH {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException, ExecutionException {
            seat.crash();
            pause(chance, 200, 4000);
            end(seat, chance);
            pause(chance, 0, 3000);
            seat.begin(true, false);
            seat.register();
        }
    },
    /** Another one takes its address and its node's name before the old node has vanished. */
    TAKEN {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException, ExecutionException {
            seat.crash();
            try (NodeWriter old = seat.abandon()) {
                seat.begin(true, true);
                seat.register();
                pause(chance, 0, 2000);
                seat.expire(old);
            }
            pause(chance, 0, 2000);
        }
    },
    /**
     * Its node says another address from now on, and the process at the old one goes on answering.
     */
    MOVES {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException, ExecutionException {
            LoopbackServer old = seat.server();
            seat.begin(true, false);
            seat.change(seat.node());
            away(chance);
            seat.crash(old);
        }
    },
    /** Its node can't be read for a while. */
    GARBLED {
        @Override
        void play(ProcessSlot seat, SplittableRandom chance)
                throws IOException, InterruptedException {
            seat.garble();
            away(chance);
            seat.change(seat.node());
        }
    };

    /** Long enough that a late request would be seen: drains allow 2 s. */
    private static final int AWAY = 2300;

    private static final int LONGEST_AWAY = 4000;

    abstract void play(ProcessSlot seat, SplittableRandom chance)
            throws IOException, InterruptedException, ExecutionException;

    private static void end(ProcessSlot seat, SplittableRandom chance) {
        if (chance.nextBoolean()) {
            seat.expire();
        } else {
            seat.leave();
        }
    }

    private static void away(SplittableRandom chance) throws InterruptedException {
        pause(chance, AWAY, LONGEST_AWAY);
    }

    private static void pause(SplittableRandom chance, int leastMillis, int mostMillis)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(chance.nextInt(leastMillis, mostMillis + 1));
    }
}
