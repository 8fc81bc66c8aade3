/**
 * The command {@code register}, which starts a server as its child process and, once the server is
 * healthy, keeps an ephemeral node for it in ZooKeeper.
 */
package appleridge.discovery.registration;
