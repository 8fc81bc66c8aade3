package appleridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class AddressesTest {
    @Test
    void literalsAreRead() {
        assertEquals("/10.1.0.18:3000", Addresses.literal("10.1.0.18:3000").toString());
        assertEquals(80, Addresses.literal("[2001:db8::1]:80").getPort());
    }

    /** Guards against a name in a list that is looked up on the loop, which waits for it. */
    @Test
    void namesAndNonsenseAreNot() {
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
            assertNull(Addresses.literal(text), text);
        }
    }
}
