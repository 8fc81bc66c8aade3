package appleridge.discovery.zookeeper;

/**
 * Converts between the paths of servers' nodes and their names in the subtree: {@code NAME}, or
 * {@code SHARD/NAME} if the nodes are in shards.
 *
 * @param root the path of the subtree
 * @param shards whether the nodes are one level further down, in shards
 */
record NodePaths(String root, boolean shards) {
    /** Returns the full path of a node's name, or of a shard. */
    String path(String name) {
        return prefix() + name;
    }

    /** Returns the name of a server's node; null for any other path. */
    String name(String path) {
        if (!path.startsWith(prefix())) {
            return null;
        }
        String name = path.substring(prefix().length());
        int slash = name.indexOf('/');
        boolean isNode = shards ? slash > 0 && name.indexOf('/', slash + 1) < 0 : slash < 0;
        return isNode && !name.isEmpty() ? name : null;
    }

    private String prefix() {
        return root.equals("/") ? "/" : root + "/";
    }
}
