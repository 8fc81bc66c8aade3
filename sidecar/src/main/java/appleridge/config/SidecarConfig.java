package appleridge.config;

import appleridge.loadbalancing.PolicySettings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The validated configuration of one sidecar. Immutable; created by {@link SidecarConfigParser}.
 *
 * @param name the sidecar's name, for logs
 * @param addresses the addresses on which it listens and to which it connects
 * @param seed seed of the load-balancing policy's random numbers; different for each start
 * @param limits limits of the process and of its connections
 * @param cachedEndpoints the endpoint list last known to the platform, in the registry's format;
 *     empty if the file has none
 * @param settings the policy's settings, adapted to a sidecar with real sockets: endpoints are
 *     always subscribed to, and gossip is off
 * @param pollsLocalAgent whether the registry is an agent on this machine to which lists are
 *     pushed; a change counts as notified to this sidecar as soon as the agent has it
 * @param catalog names of request classes, tenants, zones and machine types
 */
public record SidecarConfig(
        String name,
        SidecarAddresses addresses,
        long seed,
        ConnectionLimits limits,
        Optional<JsonNode> cachedEndpoints,
        PolicySettings settings,
        boolean pollsLocalAgent,
        Catalog catalog) {
    /**
     * Parses the text of a configuration file.
     *
     * @throws ConfigException if a value is missing or not allowed
     * @throws IllegalArgumentException if a combination of values is not allowed
     * @throws IOException if the text is not JSON
     */
    public static SidecarConfig parse(byte[] text) throws IOException {
        return parse(new ObjectMapper().readTree(text));
    }

    /** Like {@link #parse(byte[])}, from a parsed JSON tree. */
    public static SidecarConfig parse(JsonNode root) {
        return new SidecarConfigParser(root).parse();
    }

    /**
     * Parses {@code address:port}.
     *
     * @throws ConfigException if it is not a literal IP address; names are not resolved
     */
    public static InetSocketAddress literalAddress(String text) {
        return SidecarConfigParser.address("address", text);
    }

    /** This configuration with another address of the admin server. */
    public SidecarConfig withAdminAddress(InetSocketAddress other) {
        return withAddresses(addresses.withAdmin(other));
    }

    /** This configuration with another address for clients. */
    public SidecarConfig withListenAddress(InetSocketAddress other) {
        return withAddresses(addresses.withListen(other));
    }

    private SidecarConfig withAddresses(SidecarAddresses other) {
        return new SidecarConfig(
                name, other, seed, limits, cachedEndpoints, settings, pollsLocalAgent, catalog);
    }

    /**
     * The top-level keys whose values differ in another configuration and take effect only after a
     * restart. The registry's address and the cached endpoints are reloaded without one.
     */
    public List<String> partsNeedingRestart(SidecarConfig other) {
        List<String> parts = new ArrayList<>();
        if (!name.equals(other.name)) {
            parts.add("name");
        }
        if (!listenAddress().equals(other.listenAddress())) {
            parts.add("listen");
        }
        if (!adminAddress().equals(other.adminAddress())) {
            parts.add("admin");
        }
        if (maxDescriptors() != other.maxDescriptors()) {
            parts.add("limits");
        }
        if (!hasSameSettings(other)) {
            parts.add("settings");
        }
        return List.copyOf(parts);
    }

    private boolean hasSameSettings(SidecarConfig other) {
        return settings.equals(other.settings)
                && pollsLocalAgent == other.pollsLocalAgent
                && catalog.equals(other.catalog)
                && upstreamIdleTimeoutNanos() == other.upstreamIdleTimeoutNanos()
                && maxOpenRequests() == other.maxOpenRequests();
    }

    /** The address on which clients connect. */
    public InetSocketAddress listenAddress() {
        return addresses.listen();
    }

    /** The registry's address. */
    public InetSocketAddress registryAddress() {
        return addresses.registry();
    }

    /** The admin server's address; empty if the admin server is off. */
    public Optional<InetSocketAddress> adminAddress() {
        return addresses.admin();
    }

    /** Maximum number of file descriptors that the process may hold. */
    public int maxDescriptors() {
        return limits.maxDescriptors();
    }

    /** Maximum number of requests that may be open at once. */
    public int maxOpenRequests() {
        return limits.maxOpenRequests();
    }

    /** Nanoseconds after which an upstream host closes an idle connection. */
    public long upstreamIdleTimeoutNanos() {
        return limits.upstreamIdleTimeoutNanos();
    }

    /** Names of the request classes, as clients send them. */
    public List<String> requestClassNames() {
        return catalog.requestClasses();
    }

    /** Names of the tenants, as clients send them. */
    public List<String> tenantNames() {
        return catalog.tenants();
    }

    /** Names of the zones, by index. */
    public List<String> zones() {
        return catalog.zones();
    }

    /** Names of the machine types, by index. */
    public List<String> machineTypes() {
        return catalog.machineTypes();
    }
}
