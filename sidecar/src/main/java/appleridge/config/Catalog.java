package appleridge.config;

import java.util.List;

/**
 * Names that requests and endpoints refer to. The position of a name in its list is the number by
 * which the load-balancing policy knows it.
 *
 * @param requestClasses as clients name them in a request header
 * @param tenants as clients name them in a request header; empty if there is only one
 * @param zones as endpoint lists and nodes name them; empty if none are told apart
 * @param machineTypes as endpoint lists and nodes name them; empty if none are told apart
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
