package appleridge.testbed.simnet;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Channel configuration. Socket options are stored and returned; only SO_LINGER 0, SO_BACKLOG and
 * ALLOW_HALF_CLOSURE have an effect.
 */
class SimConfig extends DefaultChannelConfig {
    private static final ChannelOption<?>[] SOCKET_OPTIONS = {
        ChannelOption.TCP_NODELAY,
        ChannelOption.SO_KEEPALIVE,
        ChannelOption.SO_REUSEADDR,
        ChannelOption.SO_LINGER,
        ChannelOption.SO_SNDBUF,
        ChannelOption.SO_RCVBUF,
        ChannelOption.IP_TOS,
        ChannelOption.SO_BACKLOG,
        ChannelOption.ALLOW_HALF_CLOSURE
    };

    private final Map<ChannelOption<?>, Object> options = new LinkedHashMap<>();
    private final Runnable readingStopped;

    SimConfig(
            Channel channel,
            SimLoop loop,
            RecvByteBufAllocator receiving,
            Runnable readingStopped) {
        super(channel, receiving);
        this.readingStopped = readingStopped;
        setAllocator(loop.allocator());
    }

    boolean allowsHalfClosure() {
        return Boolean.TRUE.equals(options.get(ChannelOption.ALLOW_HALF_CLOSURE));
    }

    /** Whether closing sends a reset, as SO_LINGER 0 does. */
    boolean resetsOnClose() {
        return Integer.valueOf(0).equals(options.get(ChannelOption.SO_LINGER));
    }

    int backlog(int otherwise) {
        return options.get(ChannelOption.SO_BACKLOG) instanceof Integer backlog
                ? backlog
                : otherwise;
    }

    @Override
    public Map<ChannelOption<?>, Object> getOptions() {
        return getOptions(super.getOptions(), SOCKET_OPTIONS);
    }

    @SuppressWarnings("unchecked")
    @Override
    public <T> T getOption(ChannelOption<T> option) {
        return options.containsKey(option) ? (T) options.get(option) : super.getOption(option);
    }

    @Override
    public <T> boolean setOption(ChannelOption<T> option, T value) {
        for (ChannelOption<?> known : SOCKET_OPTIONS) {
            if (known == option) {
                validate(option, value);
                options.put(option, value);
                return true;
            }
        }
        return super.setOption(option, value);
    }

    @Override
    protected void autoReadCleared() {
        readingStopped.run();
    }
}
