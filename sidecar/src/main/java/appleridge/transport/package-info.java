/**
 * Event loop, time, connecting and the sockets themselves: moves bytes and time and decides
 * nothing.
 */
package appleridge.transport;
