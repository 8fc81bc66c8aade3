package appleridge.testbed.simnet;

/** Run by hand: how many HTTP exchanges one core simulates in a second of its time. */
final class Speed {
    private static final int REQUESTS = 20_000;

    private Speed() {}

    /** An argument cuts into segments of up to so many bytes. */
    public static void main(String[] args) {
        for (int round = 0; round < 8; round++) {
            Site site = new Site(round, Site.COSTS);
            site.world.there().segment = args.length == 0 ? 0 : Integer.parseInt(args[0]);
            site.serveHttp();
            long begin = System.nanoTime();
            for (int i = 0; i < 10; i++) {
                site.ask(REQUESTS / 10, 100);
            }
            site.world.run(1_000 * World.SECOND);
            double seconds = (System.nanoTime() - begin) / 1e9;
            System.out.println(
                    (int) (site.answers / seconds)
                            + " exchanges a second, "
                            + (int) (site.world.simulation.steps() / seconds)
                            + " steps a second");
            site.end();
        }
    }
}
