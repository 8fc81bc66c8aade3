package appleridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class AddressesTest {
    @Test
    void literalAddressIsParsed() {
        assertEquals("/10.1.0.18:3000", Addresses.parse("10.1.0.18:3000").orElseThrow().toString());
        assertEquals(80, Addresses.parse("[2001:db8::1]:80").orElseThrow().getPort());
    }

    /**
     * Guards against a host name in an endpoint list that is resolved on the event loop and blocks
     * it.
     */
    @Test
    void hostNameOrMalformedAddressIsRejected() {
        for (String text :
                List.of(
                        "localhost:80",
                        "s1.example.org:80",
                        "10.1.0.18",
                        ":80",
                        "10.1.0:80",
                        "10.1.0.256:80",
                        "10.1.0.18:0",
                        "10.1.0.18:65536",
                        "10.1.0.18:x",
                        "010.1.0.1:80",
                        "[::1%lo]:80",
                        "[]:80",
                        "0x7f000001:80",
                        "1.2.3.4.5:80",
                        "")) {
            assertEquals(Optional.empty(), Addresses.parse(text), text);
        }
    }
}
