/**
 * Stand-ins for order servers, discovery and clients on real loopback sockets. They report their
 * events to a listener.
 */
package appleridge.testbed.standin;
