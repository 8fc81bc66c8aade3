package appleridge.http1;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Creates the headers of a chunked message's trailer, which refuse more lines than a head may have:
 * the decoder limits the length of a trailer, and each line occupies many times its length.
 */
final class LimitedTrailers implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
        return new Trailer();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return new Trailer();
    }

    private static final class Trailer extends DefaultHttpHeaders {
        Trailer() {
            super(
                    DefaultHttpHeadersFactory.trailersFactory().getNameValidator(),
                    DefaultHttpHeadersFactory.trailersFactory().getValueValidator());
        }

        @Override
        public HttpHeaders add(String name, Object value) {
            checkSize();
            return super.add(name, value);
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            checkSize();
            return super.add(name, value);
        }

        private void checkSize() {
            if (size() >= MessageFraming.MAX_HEADER_LINES) {
                throw new IllegalArgumentException("too many trailer lines");
            }
        }
    }
}
