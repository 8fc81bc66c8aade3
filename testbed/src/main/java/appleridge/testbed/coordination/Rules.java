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

/** Whether what somebody asks of a tree is right, and the change that it then is. Pure. */
final class Rules {
    /** One write that is asked for, alone or among several. */
    record Asked(int type, Record request) {}

    /** Who asks. */
    record Asker(long session, Set<Id> ids) {}

    /**
     * Everybody may do everything. Danger: the client asks for a null in it, which other lists
     * refuse.
     */
    static final List<ACL> OPEN = Arrays.asList(new ACL(Perms.ALL, new Id("world", "anyone")));

    private static final String DIGEST = "digest";

    private Rules() {}

    /** The change that this is, to be applied at once. */
    static Change change(Tree tree, Asked asked, Asker asker) throws KeeperException {
        if (asked.request() instanceof CreateRequest create) {
            return create(tree, create, asker);
        } else if (asked.request() instanceof DeleteRequest delete) {
            Tree.Node node = at(tree, delete.getPath());
            if (delete.getPath().equals("/")) {
                throw KeeperException.create(Code.BADARGUMENTS, delete.getPath());
            }
            permitted(tree, Tree.parent(delete.getPath()), Perms.DELETE, asker);
            version(delete.getVersion(), node.stat().getVersion(), delete.getPath());
            if (!node.children().isEmpty()) {
                throw KeeperException.create(Code.NOTEMPTY, delete.getPath());
            }
            return new Change.Drop(delete.getPath());
        } else if (asked.request() instanceof SetDataRequest set) {
            Tree.Node node = permitted(tree, set.getPath(), Perms.WRITE, asker);
            version(set.getVersion(), node.stat().getVersion(), set.getPath());
            return new Change.Write(set.getPath(), set.getData());
        } else if (asked.request() instanceof CheckVersionRequest check) {
            Tree.Node node = permitted(tree, check.getPath(), Perms.READ, asker);
            version(check.getVersion(), node.stat().getVersion(), check.getPath());
            return new Change.Look(check.getPath());
        } else if (asked.request() instanceof SetACLRequest set) {
            Tree.Node node = permitted(tree, set.getPath(), Perms.ADMIN, asker);
            version(set.getVersion(), node.stat().getAversion(), set.getPath());
            return new Change.Guard(set.getPath(), acl(set.getAcl(), asker));
        }
        throw KeeperException.create(Code.UNIMPLEMENTED);
    }

    /** What the asker is told of a change once it is done. */
    static OpResult result(Tree tree, Asked asked, Change done) {
        if (done instanceof Change.Make make) {
            return asked.type() == OpCode.create
                    ? new OpResult.CreateResult(make.path())
                    : new OpResult.CreateResult(make.path(), tree.node(make.path()).stat());
        } else if (done instanceof Change.Write write) {
            return new OpResult.SetDataResult(tree.node(write.path()).stat());
        } else if (done instanceof Change.Guard guard) {
            return new OpResult.SetDataResult(tree.node(guard.path()).stat());
        }
        return done instanceof Change.Drop
                ? new OpResult.DeleteResult()
                : new OpResult.CheckResult();
    }

    private static Change create(Tree tree, CreateRequest create, Asker asker)
            throws KeeperException {
        CreateMode mode = CreateMode.fromFlag(create.getFlags());
        if (mode.isContainer() || mode.isTTL()) {
            throw KeeperException.create(Code.UNIMPLEMENTED, create.getPath());
        }
        path(create.getPath(), mode.isSequential());
        List<ACL> acl = acl(create.getAcl(), asker);
        Tree.Node parent = permitted(tree, Tree.parent(create.getPath()), Perms.CREATE, asker);
        String path =
                mode.isSequential()
                        ? create.getPath() + String.format(Locale.ROOT, "%010d", parent.made())
                        : create.getPath();
        if (tree.node(path) != null) {
            throw KeeperException.create(Code.NODEEXISTS, path);
        }
        if (parent.stat().getEphemeralOwner() != 0) {
            throw KeeperException.create(Code.NOCHILDRENFOREPHEMERALS, path);
        }
        return new Change.Make(
                path, create.getData(), acl, mode.isEphemeral() ? asker.session() : 0);
    }

    private static void path(String path, boolean isSequential) throws KeeperException {
        try {
            PathUtils.validatePath(path, isSequential);
        } catch (IllegalArgumentException e) {
            throw KeeperException.create(Code.BADARGUMENTS, path);
        }
    }

    private static Tree.Node at(Tree tree, String path) throws KeeperException {
        Tree.Node node = tree.node(path);
        if (node == null) {
            throw KeeperException.create(Code.NONODE, path);
        }
        return node;
    }

    private static void version(int wanted, int is, String path) throws KeeperException {
        if (wanted != -1 && wanted != is) {
            throw KeeperException.create(Code.BADVERSION, path);
        }
    }

    static boolean may(List<ACL> acl, int perms, Asker asker) {
        return acl.stream()
                .anyMatch(
                        each ->
                                (each.getPerms() & perms) != 0
                                        && (each.getId().getScheme().equals("world")
                                                || asker.ids().contains(each.getId())));
    }

    /** What a node's list is, where {@code auth} stands for the asker's own ids. */
    private static List<ACL> acl(List<ACL> asked, Asker asker) throws KeeperException {
        List<ACL> acl = new ArrayList<>();
        for (ACL each : asked == null ? List.<ACL>of() : asked) {
            Id id = each.getId();
            if (id.getScheme().equals("auth")) {
                asker.ids().forEach(own -> acl.add(new ACL(each.getPerms(), own)));
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

    /** What somebody may see of a node's list: no digests but for those who could change them. */
    static List<ACL> shown(Tree.Node node, Asker asker) {
        if (may(node.acl(), Perms.ADMIN, asker)) {
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

    /** The id that a name with a password proves. */
    static Id digest(byte[] nameAndPassword) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-1").digest(nameAndPassword);
            String name = new String(nameAndPassword, StandardCharsets.UTF_8).split(":", 2)[0];
            return new Id(DIGEST, name + ":" + Base64.getEncoder().encodeToString(hash));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A stat alone, of what {@code exists} asks. */
    static Stat stat(Tree tree, String path) throws KeeperException {
        return at(tree, path).stat();
    }

    /** A node with which the asker may do one of these. */
    static Tree.Node permitted(Tree tree, String path, int perms, Asker asker)
            throws KeeperException {
        Tree.Node node = at(tree, path);
        if (!may(node.acl(), perms, asker)) {
            throw KeeperException.create(Code.NOAUTH, path);
        }
        return node;
    }
}
