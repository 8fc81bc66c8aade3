package appleridge.discovery.ephemeral;

/**
 * The result of reading a node: its data, or why they can't be read.
 *
 * @param data null if they can't be read
 * @param problem why the data can't be read; null if they can
 * @param createdMillis Unix time in milliseconds at which the ensemble created the node; 0 if
 *     unknown
 * @param mzxid the transaction that last changed the data
 * @param czxid the transaction that created the node
 */
public record NodeRead(NodeData data, String problem, long createdMillis, long mzxid, long czxid) {}
