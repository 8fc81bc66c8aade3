package appleridge.testbed.coordination;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * What may come between the sidecar and the coordination service; over when {@link #play} returns.
 */
enum CoordinationFault {
    /** Connections end, and are made again. */
    CUT {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) {
            site.loop.execute(site.relay::cut);
        }
    },
    /** Connections break, and are made again. */
    RESET {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) {
            site.loop.execute(site.relay::reset);
        }
    },
    /** One answer or event comes by half. */
    HALF {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) {
            site.loop.execute(site.relay::truncateNext);
        }
    },
    /** Nothing passes for a while. */
    SILENT {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            door(site, Relay.Mode.SILENT);
            pause(random, 200, 8000);
            door(site, Relay.Mode.OPEN);
        }
    },
    /** The service is away. */
    OUTAGE {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            door(site, Relay.Mode.REFUSES);
            site.loop.execute(site.relay::reset);
            pause(random, 200, 8000);
            door(site, Relay.Mode.OPEN);
        }
    },
    /** All is late. */
    LATE {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            long nanos = TimeUnit.MILLISECONDS.toNanos(random.nextInt(10, 400));
            site.loop.execute(() -> site.relay.delay(nanos));
            pause(random, 1000, 6000);
            site.loop.execute(() -> site.relay.delay(0));
        }
    },
    /** The sidecar's own session ends. */
    EXPIRED {
        @Override
        void play(CoordinatedSite site, SplittableRandom random)
                throws InterruptedException, ExecutionException {
            site.coordination.expire(site.sidecarSession());
        }
    },
    /** The coordination server answers pings and nothing else. */
    HUNG {
        @Override
        void play(CoordinatedSite site, SplittableRandom random) throws InterruptedException {
            site.coordination.hung(true);
            pause(random, 200, 5000);
            site.coordination.hung(false);
        }
    },
    /** The coordination server is started again, with its data. */
    RESTART {
        @Override
        void play(CoordinatedSite site, SplittableRandom random)
                throws InterruptedException, IOException {
            site.coordination.stop();
            pause(random, 0, 2000);
            site.coordination.start();
        }
    },
    /** The sidecar stands still, longer than its session lasts at times. */
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

    private static void door(CoordinatedSite site, Relay.Mode door) {
        site.loop.execute(() -> site.relay.mode(door));
    }

    private static void pause(SplittableRandom random, int leastMillis, int mostMillis)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(leastMillis, mostMillis + 1));
    }
}
