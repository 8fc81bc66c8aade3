package appleridge.request;

/** What its client's connection may do with a request that was accepted. Event loop only. */
public interface AcceptedRequest {
    /** A request that has ended. */
    AcceptedRequest ENDED =
            new AcceptedRequest() {
                @Override
                public void onClientDisconnected() {}

                @Override
                public void giveUp() {}
            };

    /** Ends the request, because its client has disconnected. */
    void onClientDisconnected();

    /** Rejects the request unless a part of it has been sent: there is no room to hold it. */
    void giveUp();
}
