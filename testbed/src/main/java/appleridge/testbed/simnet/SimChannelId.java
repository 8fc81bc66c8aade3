package appleridge.testbed.simnet;

import io.netty.channel.ChannelId;

/** Identifies a channel by its host and its number within that process. */
record SimChannelId(String host, long number) implements ChannelId {
    private static final long serialVersionUID = 1;

    @Override
    public String asShortText() {
        return host + "-" + number;
    }

    @Override
    public String asLongText() {
        return asShortText();
    }

    @Override
    public int compareTo(ChannelId other) {
        SimChannelId that = (SimChannelId) other;
        int order = host.compareTo(that.host);
        return order != 0 ? order : Long.compare(number, that.number);
    }
}
