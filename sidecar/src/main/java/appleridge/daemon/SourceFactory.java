package appleridge.daemon;

import appleridge.config.Config;
import appleridge.discovery.ListSink;
import appleridge.discovery.ListSource;
import appleridge.discovery.registry.Discovery;
import appleridge.discovery.registry.RegistryList;
import appleridge.transport.Loop;
import appleridge.transport.Sockets;

/** Makes the source of a sidecar's list. */
public interface SourceFactory {
    /** Called on the loop; nothing is told before {@link ListSource#begin} has returned. */
    ListSource make(Loop loop, Sockets sockets, Config config, ListSink sink);

    /** The platform's registry. */
    static ListSource registry(Loop loop, Sockets sockets, Config config, ListSink sink) {
        return new Discovery(
                loop,
                sockets,
                config.discovery(),
                config.known(),
                new RegistryList(config.zones(), config.kinds()),
                sink,
                config.pushed()
                        ? Discovery.Pace.AGENT
                        : Discovery.Pace.asked(config.settings().limits().askWithin()));
    }
}
