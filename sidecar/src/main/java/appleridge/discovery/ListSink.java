package appleridge.discovery;

import appleridge.loadbalancing.Balancer.ListKind;
import java.util.List;

/** Takes what a source of the list has to tell, on the loop. */
public interface ListSink {
    /** News of the list; none with {@link ListKind#FAILED}. */
    void told(ListKind kind, List<Member> members);
}
