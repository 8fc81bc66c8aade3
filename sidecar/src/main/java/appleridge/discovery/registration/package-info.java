/**
 * The command {@code register}, which runs beside a server: starts it as its child and keeps an
 * ephemeral node for it in ZooKeeper while it is healthy.
 */
package appleridge.discovery.registration;
