/**
 * The simulated world around the sidecars: plans of days, stand-ins for clients, order servers and
 * discovery, and the faults injected into them.
 */
package appleridge.testbed.simulation;
