package appleridge.testbed.standin;

import java.util.List;

/**
 * A tenant of the ordering platform.
 *
 * @param share its share of the traffic, from 0 to 1
 */
public record TenantShare(String name, double share) {
    /** The tenants of the ordering platform. */
    public static final List<TenantShare> ALL =
            List.of(
                    new TenantShare("cycles-moris", 0.19),
                    new TenantShare("roue-dor", 0.16),
                    new TenantShare("piece-velo-nord", 0.16),
                    new TenantShare("bois-cheri-cycles", 0.14),
                    new TenantShare("ilot-bike-supply", 0.13),
                    new TenantShare("curepipe-pedale", 0.11),
                    new TenantShare("sud-rayons", 0.05),
                    new TenantShare("flacq-chaines", 0.03),
                    new TenantShare("mahebourg-velo", 0.03));
}
