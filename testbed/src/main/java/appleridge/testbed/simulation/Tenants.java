package appleridge.testbed.simulation;

import java.util.List;

/** The tenants and their shares of the traffic. */
public final class Tenants {
    /** A tenant; {@code share} is a fraction of the traffic, and all shares add up to 1. */
    public record Tenant(String name, double share) {}

    /** All tenants, in the order of a sidecar's settings. */
    public static final List<Tenant> ALL =
            List.of(
                    new Tenant("cycles-moris", 0.19),
                    new Tenant("roue-dor", 0.16),
                    new Tenant("piece-velo-nord", 0.16),
                    new Tenant("bois-cheri-cycles", 0.14),
                    new Tenant("ilot-bike-supply", 0.13),
                    new Tenant("curepipe-pedale", 0.11),
                    new Tenant("sud-rayons", 0.05),
                    new Tenant("flacq-chaines", 0.03),
                    new Tenant("mahebourg-velo", 0.03));

    private Tenants() {}
}
