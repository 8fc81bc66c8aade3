/**
 * Where the list of upstreams comes from; the sources themselves stand in packages of their own
 * below.
 */
package appleridge.discovery;
