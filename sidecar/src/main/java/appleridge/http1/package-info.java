/**
 * HTTP/1.1 towards clients and upstreams: accepts client connections, parses requests and writes
 * responses, and sends requests to upstreams over pooled keep-alive connections. Does not decide
 * where a request goes: it passes requests to the request coordinator and reports the outcome of an
 * attempt that a socket event proves. Everything here runs on the event loop's thread.
 */
package appleridge.http1;
