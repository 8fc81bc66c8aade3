package appleridge.config;

import java.util.List;

/**
 * The names that requests and endpoints refer to. The load-balancing policy refers to a name by its
 * index in the list. Immutable.
 *
 * @param requestClasses names that clients send in a request header
 * @param tenants names that clients send in a request header; empty if there is only one tenant
 * @param zones names in endpoint lists and ephemeral nodes; empty if zones are not distinguished
 * @param machineTypes names in endpoint lists and ephemeral nodes; empty if machine types are not
 *     distinguished
 */
public record Catalog(
        List<String> requestClasses,
        List<String> tenants,
        List<String> zones,
        List<String> machineTypes) {
    public Catalog {
        requestClasses = List.copyOf(requestClasses);
        tenants = List.copyOf(tenants);
        zones = List.copyOf(zones);
        machineTypes = List.copyOf(machineTypes);
    }
}
