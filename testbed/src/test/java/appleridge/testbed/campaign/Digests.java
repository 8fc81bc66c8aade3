package appleridge.testbed.campaign;

import appleridge.testbed.simulation.Plan;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Prints the digest of each seed from one to another, for a test that looks at them from another
 * JVM.
 */
final class Digests {
    private Digests() {}

    public static void main(String[] args) {
        Logger.getLogger("io.netty").setLevel(Level.OFF);
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            System.out.println(seed + " " + Long.toHexString(of(seed)));
        }
    }

    static long of(long seed) {
        return DayPlayer.play(Plan.draw(seed)).digest();
    }
}
