/**
 * A request's life from its acceptance to its one final response: attempts and their outcomes,
 * deadlines, cancellation, and catching up after stalls of the event loop. {@link
 * appleridge.request.RequestCoordinator} is the way in; {@link appleridge.request.ResponseSink},
 * {@link appleridge.request.UpstreamTransport} and {@link appleridge.request.EndpointSubscription}
 * are what others implement. Knows no protocol, socket or clock.
 */
package appleridge.request;
