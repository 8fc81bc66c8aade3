/**
 * Event loop, clocks, sockets, connecting and the log of the process; contains no decisions of load
 * balancing. The thread of one event loop runs all code of a sidecar. Only this package reads the
 * system clocks.
 */
package appleridge.transport;
