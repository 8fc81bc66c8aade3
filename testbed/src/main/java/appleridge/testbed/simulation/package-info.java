/**
 * The world around sidecars on the simulated network: plans of days, stand-ins, and their faults.
 */
package appleridge.testbed.simulation;
