/**
 * A request's life from its acceptance to its one final response: attempts and their outcomes,
 * deadlines, cancellation, and catching up after stalls of the event loop. {@link
 * appleridge.request.RequestCoordinator} is the entry point; {@link
 * appleridge.request.ResponseSink}, {@link appleridge.request.UpstreamTransport} and {@link
 * appleridge.request.EndpointSubscription} are implemented by other packages. Depends on no
 * protocol, socket or system clock.
 */
package appleridge.request;
