package appleridge.testbed.simnet;

/** A benchmark, run by hand: how many HTTP exchanges one core simulates per second. */
final class Speed {
    private static final int REQUESTS = 20_000;

    private Speed() {}

    /** The optional argument is the {@link NetworkConditions#segment} to use. */
    public static void main(String[] args) {
        for (int round = 0; round < 8; round++) {
            NettyPair pair = new NettyPair(round, NettyPair.COSTS);
            pair.world.aToB().segment = args.length == 0 ? 0 : Integer.parseInt(args[0]);
            pair.serveHttp();
            long begin = System.nanoTime();
            for (int i = 0; i < 10; i++) {
                pair.sendRequests(REQUESTS / 10, 100);
            }
            pair.world.run(1_000 * TwoHosts.SECOND);
            double seconds = (System.nanoTime() - begin) / 1e9;
            System.out.println(
                    (int) (pair.responses / seconds)
                            + " exchanges a second, "
                            + (int) (pair.world.simulation.steps() / seconds)
                            + " steps a second");
            pair.stop();
        }
    }
}
