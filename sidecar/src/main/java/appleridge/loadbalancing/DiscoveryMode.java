package appleridge.loadbalancing;

/** How endpoint updates come to a policy. */
public enum DiscoveryMode {
    /** The host of the policy delivers them without being asked. */
    PUSHED,
    /** They come after {@link PolicyActions#subscribe}, until a {@link UpdateKind#FAILURE}. */
    SUBSCRIBED
}
