package appleridge.discovery;

import appleridge.loadbalancing.UpdateKind;
import java.util.List;

/** Takes what a source of the list has to tell, on the loop. */
public interface DiscoveryListener {
    /** News of the list; none with {@link ListValueKind#FAILURE}. */
    void onUpdate(UpdateKind kind, List<DiscoveredEndpoint> members);
}
