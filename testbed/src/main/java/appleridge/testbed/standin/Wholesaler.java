package appleridge.testbed.standin;

import java.util.List;

/**
 * A tenant of the ordering platform.
 *
 * @param share its part of the traffic
 */
public record Wholesaler(String name, double share) {
    /** Those of the ordering platform. */
    public static final List<Wholesaler> ALL =
            List.of(
                    new Wholesaler("cycles-moris", 0.19),
                    new Wholesaler("roue-dor", 0.16),
                    new Wholesaler("piece-velo-nord", 0.16),
                    new Wholesaler("bois-cheri-cycles", 0.14),
                    new Wholesaler("ilot-bike-supply", 0.13),
                    new Wholesaler("curepipe-pedale", 0.11),
                    new Wholesaler("sud-rayons", 0.05),
                    new Wholesaler("flacq-chaines", 0.03),
                    new Wholesaler("mahebourg-velo", 0.03));
}
