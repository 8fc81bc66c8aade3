/**
 * HTTP/1.1 on both sides: client connections are accepted, read and answered; requests are sent to
 * upstreams on kept connections. Decides nothing about where a request goes: it hands requests to
 * the request coordinator and reports which outcome of an attempt a socket event proves. All of it
 * runs on the event loop's thread.
 */
package appleridge.http1;
