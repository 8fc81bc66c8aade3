package appleridge.testbed.coordination;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A fault of the connection between the sidecar and the coordination service, or of either end. The
 * fault has ended when {@link #play} returns. The names are values of {@code --strikes}.
 */
enum CoordinationFault {
    /** Closes all connections in order; the sidecar reconnects. */
    CUT {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) {
            site.loop.execute(site.relay::cut);
        }
    },
    /** Resets all connections; the sidecar reconnects. */
    RESET {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) {
            site.loop.execute(site.relay::reset);
        }
    },
    /** Cuts the next response or notification in half, then resets its connection. */
    HALF {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) {
            site.loop.execute(site.relay::truncateNext);
        }
    },
    /** Holds all bytes back for a while; connections stay open. */
    SILENT {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            setMode(site, Relay.Mode.SILENT);
            pause(random, 200, 8000);
            setMode(site, Relay.Mode.OPEN);
        }
    },
    /** Resets all connections and refuses new ones for a while. */
    OUTAGE {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            setMode(site, Relay.Mode.REFUSES);
            site.loop.execute(site.relay::reset);
            pause(random, 200, 8000);
            setMode(site, Relay.Mode.OPEN);
        }
    },
    /** Delays all bytes for a while. */
    LATE {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            long nanos = TimeUnit.MILLISECONDS.toNanos(random.nextInt(10, 400));
            site.loop.execute(() -> site.relay.delay(nanos));
            pause(random, 1000, 6000);
            site.loop.execute(() -> site.relay.delay(0));
        }
    },
    /** Expires the sidecar's session. */
    EXPIRED {
        @Override
        void play(CoordinatedSite site, SplittableRandom random)
                throws InterruptedException, ExecutionException {
            site.coordination.expire(site.sidecarSession());
        }
    },
    /** Lets the coordination server answer only pings and new connections for a while. */
    HUNG {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            site.coordination.hung(true);
            pause(random, 200, 5000);
            site.coordination.hung(false);
        }
    },
    /** Restarts the coordination server with its data. */
    RESTART {
        @Override
        void play(CoordinatedSite site, SplittableRandom random)
                throws InterruptedException, IOException {
            site.coordination.stop();
            pause(random, 0, 2000);
            site.coordination.start();
        }
    },
    /** Suspends the sidecar process, sometimes for longer than its session time-out. */
    STILL {
        @Override
        void play(CoordinatedSite site, SplittableRandom random)
                throws InterruptedException, IOException {
            site.sidecar.standStill(true);
            pause(random, 200, 5000);
            site.sidecar.standStill(false);
        }
    };

    abstract void play(CoordinatedSite site, SplittableRandom random)
            throws IOException, InterruptedException, ExecutionException;

    private static void setMode(CoordinatedSite site, Relay.Mode mode) {
        site.loop.execute(() -> site.relay.mode(mode));
    }

    private static void pause(SplittableRandom random, int minMillis, int maxMillis)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(minMillis, maxMillis + 1));
    }
}
