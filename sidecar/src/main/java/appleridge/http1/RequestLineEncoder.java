package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Writes request lines byte for byte as they were read. Netty decodes a head as Latin-1 but encodes
 * the request line as UTF-8, which would change non-ASCII bytes of the path.
 */
final class RequestLineEncoder extends HttpRequestEncoder {
    @Override
    protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
        out.writeCharSequence(
                request.method() + " " + request.uri() + " " + request.protocolVersion() + "\r\n",
                StandardCharsets.ISO_8859_1);
    }
}
