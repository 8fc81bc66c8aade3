package appleridge.discovery.zookeeper;

/**
 * Maps a server's node to its name in the subtree: {@code NAME}, or {@code SHARD/NAME} where the
 * nodes stand in shards.
 *
 * @param root the path of the subtree
 * @param shards whether nodes stand one level further down
 */
record NodePaths(String root, boolean shards) {
    /** The full path of a name, or of a shard. */
    String path(String name) {
        return prefix() + name;
    }

    /** The name of a server's node; null for any other path. */
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
