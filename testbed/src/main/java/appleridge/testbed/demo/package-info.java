/**
 * The command {@code demo} of {@code testbed.jar}: runs a real sidecar in a small site on this
 * machine under traffic and faults, and checks four rules.
 */
package appleridge.testbed.demo;
