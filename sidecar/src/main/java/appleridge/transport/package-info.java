/**
 * Event loop, clocks, connecting, sockets and the process's log: moves bytes and time and decides
 * nothing. One event loop's thread runs all of a sidecar's code; system clocks are read here alone.
 */
package appleridge.transport;
