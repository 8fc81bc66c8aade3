/**
 * A discrete-event simulation with a byte-level network, and Netty channels and event loops that
 * run on it.
 */
package appleridge.testbed.simnet;
