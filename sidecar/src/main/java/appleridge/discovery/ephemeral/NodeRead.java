package appleridge.discovery.ephemeral;

/**
 * The result of reading a node: its data, or why that can't be read.
 *
 * @param data null where it can't be read
 * @param problem why it can't be read; null where it can
 * @param createdMillis Unix time in milliseconds at which the ensemble made the node; 0 where
 *     unknown
 * @param mzxid the transaction that changed its data last
 * @param czxid the transaction that made it
 */
public record NodeRead(NodeData data, String problem, long createdMillis, long mzxid, long czxid) {}
