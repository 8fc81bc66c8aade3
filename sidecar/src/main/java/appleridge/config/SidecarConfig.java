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
 * The validated configuration with which one sidecar starts. Immutable; {@link SidecarConfigParser}
 * makes it.
 *
 * @param name the sidecar's name, for logs
 * @param addresses where it listens and connects to
 * @param seed of the load-balancing policy's random numbers; a new one for each start
 * @param limits bounds of the process and of its connections
 * @param cachedEndpoints the endpoint list as last known to the platform, in the registry's form;
 *     empty if it gave none
 * @param settings the policy's settings as a host with sockets runs it: endpoints are always
 *     subscribed to, and gossip is off
 * @param pollsLocalAgent the registry is an agent on this machine to which lists are pushed: what
 *     the agent has counts as notified at once
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
     * Reads a configuration file's text.
     *
     * @throws ConfigException if a value is missing or not allowed
     * @throws IllegalArgumentException if values are not allowed together
     * @throws IOException if the text is not JSON
     */
    public static SidecarConfig parse(byte[] text) throws IOException {
        return parse(new ObjectMapper().readTree(text));
    }

    /** The same from JSON that was read already. */
    public static SidecarConfig parse(JsonNode root) {
        return new SidecarConfigParser(root).parse();
    }

    /**
     * The address in {@code host:port}.
     *
     * @throws ConfigException if it is not a literal address: there is no DNS here
     */
    public static InetSocketAddress literalAddress(String text) {
        return SidecarConfigParser.address("address", text);
    }

    /** The same with the admin server at another address. */
    public SidecarConfig withAdminAddress(InetSocketAddress other) {
        return withAddresses(addresses.withAdmin(other));
    }

    /** The same with clients connecting to another address. */
    public SidecarConfig withListenAddress(InetSocketAddress other) {
        return withAddresses(addresses.withListen(other));
    }

    private SidecarConfig withAddresses(SidecarAddresses other) {
        return new SidecarConfig(
                name, other, seed, limits, cachedEndpoints, settings, pollsLocalAgent, catalog);
    }

    /**
     * The parts of the file that differ in another configuration and can't be reloaded while the
     * sidecar runs, by their keys. The registry's address and the cached endpoints can be.
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

    /** Where clients connect. */
    public InetSocketAddress listenAddress() {
        return addresses.listen();
    }

    /** Where the registry answers. */
    public InetSocketAddress registryAddress() {
        return addresses.registry();
    }

    /** Where operators connect; empty if the admin server is off. */
    public Optional<InetSocketAddress> adminAddress() {
        return addresses.admin();
    }

    /** File descriptors that the process may hold. */
    public int maxDescriptors() {
        return limits.maxDescriptors();
    }

    /** Requests that may be open at once. */
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

    /** Names of the zones, in the order of their numbers. */
    public List<String> zones() {
        return catalog.zones();
    }

    /** Names of the machine types, in the order of their numbers. */
    public List<String> machineTypes() {
        return catalog.machineTypes();
    }
}
