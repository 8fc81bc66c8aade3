package appleridge.discovery.ephemeral;

/** The sources of the endpoint list. */
public enum SourceSelection {
    /** Ephemeral nodes alone. */
    NODES,
    /** Ephemeral nodes and the registry. */
    BOTH
}
