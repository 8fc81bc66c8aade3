package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Writes request lines byte for byte as they were read. A head is read as Latin-1; Netty's own
 * encoder writes UTF-8, and an upstream would get a path that no client sent.
 */
final class RequestLineEncoder extends HttpRequestEncoder {
    @Override
    protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
        out.writeCharSequence(
                request.method() + " " + request.uri() + " " + request.protocolVersion() + "\r\n",
                StandardCharsets.ISO_8859_1);
    }
}
