package appleridge.loadbalancing;

/** How endpoint updates reach a policy. */
public enum DiscoveryMode {
    /** The embedder delivers them without a subscription. */
    PUSHED,
    /** They arrive after {@link PolicyActions#subscribe}, until a {@link UpdateKind#FAILURE}. */
    SUBSCRIBED
}
