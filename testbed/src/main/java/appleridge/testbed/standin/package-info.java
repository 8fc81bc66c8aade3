/**
 * Order servers, discovery and clients on real loopback sockets, with what they saw told to a
 * witness.
 */
package appleridge.testbed.standin;
