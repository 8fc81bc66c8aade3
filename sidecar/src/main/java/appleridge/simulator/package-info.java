/**
 * The simulator's wire protocol: reads event frames from standard input, drives one load-balancing
 * policy for each simulated sidecar, and writes action frames to standard output. {@code WireCodes}
 * maps the protocol's codes to the product's terms. All of it runs on one thread.
 */
package appleridge.simulator;
