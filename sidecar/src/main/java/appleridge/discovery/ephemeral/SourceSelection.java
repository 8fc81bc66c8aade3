package appleridge.discovery.ephemeral;

/** Which sources make the list. */
public enum SourceSelection {
    /** Ephemeral nodes alone. */
    NODES,
    /** Ephemeral nodes and the registry. */
    BOTH
}
