/**
 * The command that runs beside a server: starts it as its child and keeps a node for it in
 * ZooKeeper.
 */
package appleridge.discovery.registration;
