package appleridge.discovery;

import appleridge.request.Lists;
import java.net.InetSocketAddress;
import java.util.List;

/** Where one sidecar's list comes from; made with the {@link ListSink} that it tells. */
public interface ListSource extends Lists {
    /** The list as known before anything is asked; called once, first. */
    List<Member> begin();

    /** Follows another registry from now on, where it follows one. */
    void moveTo(InetSocketAddress registry);

    /** Ends all that is open. */
    void close();
}
