package appleridge.testbed.coordination;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.jute.Record;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.OpResult;
import org.apache.zookeeper.ZooDefs.OpCode;
import org.apache.zookeeper.ZooDefs.Perms;
import org.apache.zookeeper.common.PathUtils;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.data.Id;
import org.apache.zookeeper.data.Stat;
import org.apache.zookeeper.proto.CheckVersionRequest;
import org.apache.zookeeper.proto.CreateRequest;
import org.apache.zookeeper.proto.DeleteRequest;
import org.apache.zookeeper.proto.SetACLRequest;
import org.apache.zookeeper.proto.SetDataRequest;

/**
 * Validates write operations against a tree and translates them into changes; evaluates access
 * control lists. Free of side effects.
 */
final class Rules {
    /**
     * One requested write, alone or as part of a multi request; {@code type} as in {@code
     * ZooDefs.OpCode}.
     */
    record Operation(int type, Record request) {}

    /** The session that sends a request and the ids that it has proven. */
    record Caller(long session, Set<Id> ids) {}

    /**
     * Permits everything to everyone. The client calls {@code contains(null)} on it, for which
     * {@code List.of} throws.
     */
    static final List<ACL> OPEN_ACL = Arrays.asList(new ACL(Perms.ALL, new Id("world", "anyone")));

    private static final String DIGEST = "digest";

    private Rules() {}

    /**
     * Validates an operation and returns its change, which has to be applied before the tree
     * changes otherwise. Throws the exception that the protocol prescribes for an invalid
     * operation.
     */
    static Change change(Tree tree, Operation operation, Caller caller) throws KeeperException {
        if (operation.request() instanceof CreateRequest create) {
            return create(tree, create, caller);
        } else if (operation.request() instanceof DeleteRequest delete) {
            Tree.Node node = existing(tree, delete.getPath());
            if (delete.getPath().equals("/")) {
                throw KeeperException.create(Code.BADARGUMENTS, delete.getPath());
            }
            permitted(tree, Tree.parent(delete.getPath()), Perms.DELETE, caller);
            requireVersion(delete.getVersion(), node.stat().getVersion(), delete.getPath());
            if (!node.children().isEmpty()) {
                throw KeeperException.create(Code.NOTEMPTY, delete.getPath());
            }
            return new Change.DeleteNode(delete.getPath());
        } else if (operation.request() instanceof SetDataRequest set) {
            Tree.Node node = permitted(tree, set.getPath(), Perms.WRITE, caller);
            requireVersion(set.getVersion(), node.stat().getVersion(), set.getPath());
            return new Change.SetData(set.getPath(), set.getData());
        } else if (operation.request() instanceof CheckVersionRequest check) {
            Tree.Node node = permitted(tree, check.getPath(), Perms.READ, caller);
            requireVersion(check.getVersion(), node.stat().getVersion(), check.getPath());
            return new Change.CheckVersion(check.getPath());
        } else if (operation.request() instanceof SetACLRequest set) {
            Tree.Node node = permitted(tree, set.getPath(), Perms.ADMIN, caller);
            requireVersion(set.getVersion(), node.stat().getAversion(), set.getPath());
            return new Change.SetAcl(set.getPath(), resolveAcl(set.getAcl(), caller));
        }
        throw KeeperException.create(Code.UNIMPLEMENTED);
    }

    /** Returns the result of an operation whose change has been applied. */
    static OpResult result(Tree tree, Operation operation, Change applied) {
        if (applied instanceof Change.CreateNode create) {
            return operation.type() == OpCode.create
                    ? new OpResult.CreateResult(create.path())
                    : new OpResult.CreateResult(create.path(), tree.node(create.path()).stat());
        } else if (applied instanceof Change.SetData set) {
            return new OpResult.SetDataResult(tree.node(set.path()).stat());
        } else if (applied instanceof Change.SetAcl set) {
            return new OpResult.SetDataResult(tree.node(set.path()).stat());
        }
        return applied instanceof Change.DeleteNode
                ? new OpResult.DeleteResult()
                : new OpResult.CheckResult();
    }

    private static Change create(Tree tree, CreateRequest create, Caller caller)
            throws KeeperException {
        CreateMode mode = CreateMode.fromFlag(create.getFlags());
        if (mode.isContainer() || mode.isTTL()) {
            throw KeeperException.create(Code.UNIMPLEMENTED, create.getPath());
        }
        requireValidPath(create.getPath(), mode.isSequential());
        List<ACL> acl = resolveAcl(create.getAcl(), caller);
        Tree.Node parent = permitted(tree, Tree.parent(create.getPath()), Perms.CREATE, caller);
        String path =
                mode.isSequential()
                        ? create.getPath()
                                + String.format(Locale.ROOT, "%010d", parent.childrenCreated())
                        : create.getPath();
        if (tree.node(path) != null) {
            throw KeeperException.create(Code.NODEEXISTS, path);
        }
        if (parent.stat().getEphemeralOwner() != 0) {
            throw KeeperException.create(Code.NOCHILDRENFOREPHEMERALS, path);
        }
        return new Change.CreateNode(
                path, create.getData(), acl, mode.isEphemeral() ? caller.session() : 0);
    }

    private static void requireValidPath(String path, boolean isSequential) throws KeeperException {
        try {
            PathUtils.validatePath(path, isSequential);
        } catch (IllegalArgumentException e) {
            throw KeeperException.create(Code.BADARGUMENTS, path);
        }
    }

    private static Tree.Node existing(Tree tree, String path) throws KeeperException {
        Tree.Node node = tree.node(path);
        if (node == null) {
            throw KeeperException.create(Code.NONODE, path);
        }
        return node;
    }

    private static void requireVersion(int expected, int actual, String path)
            throws KeeperException {
        if (expected != -1 && expected != actual) {
            throw KeeperException.create(Code.BADVERSION, path);
        }
    }

    static boolean allows(List<ACL> acl, int perms, Caller caller) {
        return acl.stream()
                .anyMatch(
                        each ->
                                (each.getPerms() & perms) != 0
                                        && (each.getId().getScheme().equals("world")
                                                || caller.ids().contains(each.getId())));
    }

    /** Resolves a requested list for storage; {@code auth} stands for the caller's own ids. */
    private static List<ACL> resolveAcl(List<ACL> requested, Caller caller) throws KeeperException {
        List<ACL> acl = new ArrayList<>();
        for (ACL each : requested == null ? List.<ACL>of() : requested) {
            Id id = each.getId();
            if (id.getScheme().equals("auth")) {
                caller.ids().forEach(own -> acl.add(new ACL(each.getPerms(), own)));
            } else if (id.getScheme().equals("world") && id.getId().equals("anyone")
                    || id.getScheme().equals(DIGEST) && id.getId().split(":", -1).length == 2) {
                acl.add(each);
            } else {
                throw KeeperException.create(Code.INVALIDACL);
            }
        }
        if (acl.isEmpty()) {
            throw KeeperException.create(Code.INVALIDACL);
        }
        return List.copyOf(acl);
    }

    /**
     * Returns a node's list as the caller may see it; digests are masked unless the caller may
     * change the list.
     */
    static List<ACL> visibleAcl(Tree.Node node, Caller caller) {
        if (allows(node.acl(), Perms.ADMIN, caller)) {
            return node.acl();
        }
        return node.acl().stream()
                .map(
                        each ->
                                !each.getId().getScheme().equals(DIGEST)
                                        ? each
                                        : new ACL(
                                                each.getPerms(),
                                                new Id(
                                                        DIGEST,
                                                        each.getId()
                                                                .getId()
                                                                .replaceAll(":.*", ":x"))))
                .toList();
    }

    /** Returns the id that {@code name:password} proves in the digest scheme. */
    static Id digest(byte[] nameAndPassword) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-1").digest(nameAndPassword);
            String name = new String(nameAndPassword, StandardCharsets.UTF_8).split(":", 2)[0];
            return new Id(DIGEST, name + ":" + Base64.getEncoder().encodeToString(hash));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a node's stat; no permission is required, as for {@code exists}. */
    static Stat stat(Tree tree, String path) throws KeeperException {
        return existing(tree, path).stat();
    }

    /**
     * Returns a node for which the caller has at least one of the permissions; throws otherwise.
     */
    static Tree.Node permitted(Tree tree, String path, int perms, Caller caller)
            throws KeeperException {
        Tree.Node node = existing(tree, path);
        if (!allows(node.acl(), perms, caller)) {
            throw KeeperException.create(Code.NOAUTH, path);
        }
        return node;
    }
}
