package appleridge.testbed.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.nio.charset.StandardCharsets;

/**
 * Builds HTTP responses as bytes, so that a stand-in can send part of one, and resets connections.
 */
final class HttpResponses {
    private HttpResponses() {}

    static ByteBuf bytes(String status, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 ").append(status).append("\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
