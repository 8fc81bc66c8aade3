package appleridge.lease.store;

/**
 * The ZooKeeper nodes of one lease; they are part of the stored form.
 *
 * @param folder ROOT/NAME
 * @param record ROOT/NAME/record, a persistent node
 * @param queue ROOT/NAME/line, under which each who waits has an ephemeral node
 */
record LeasePaths(String folder, String record, String queue) {
    /** Of the lease with that name, under the root of all leases. */
    static LeasePaths of(String root, String name) {
        String folder = (root.equals("/") ? "" : root) + "/" + name;
        return new LeasePaths(folder, folder + "/record", folder + "/line");
    }
}
