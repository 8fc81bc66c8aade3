/**
 * Virtual time, a simulated network that carries bytes, and Netty's channels and event loop on top
 * of it.
 */
package appleridge.testbed.simnet;
