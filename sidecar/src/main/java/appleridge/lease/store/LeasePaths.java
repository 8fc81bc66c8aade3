package appleridge.lease.store;

/**
 * The paths of one lease's ZooKeeper nodes; they are part of the stored format.
 *
 * @param parent ROOT/NAME
 * @param record ROOT/NAME/record, a persistent node
 * @param queue ROOT/NAME/line, under which each waiter has an ephemeral node
 */
record LeasePaths(String parent, String record, String queue) {
    /** The paths of the lease with that name, under the root of all leases. */
    static LeasePaths of(String root, String name) {
        String parent = (root.equals("/") ? "" : root) + "/" + name;
        return new LeasePaths(parent, parent + "/record", parent + "/line");
    }
}
