package appleridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class AddressOwnershipTest {
    private static final InetSocketAddress HERE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final InetSocketAddress THERE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 2);

    private final AddressOwnership ownership = new AddressOwnership();

    @Test
    void hostThatStartedLastHoldsTheAddressInAnyListOrder() {
        assertNull(ownership.register("old", HERE, 5));
        assertEquals("old", ownership.register("new", HERE, 9));
        assertEquals(
                "old",
                ownership.register("old", HERE, 5),
                "still listed, but still not at its address");
        assertNull(ownership.register("new", HERE, 9));
    }

    @Test
    void hostsOfEqualStartAreNotDisplaced() {
        assertNull(ownership.register("one", HERE, 0));
        assertNull(ownership.register("two", HERE, 0));
        assertNull(ownership.register("one", HERE, 0));
    }

    /**
     * Guards against a live host that is reported gone when two hosts swap addresses in one list:
     * each would find its new address still held by the other.
     */
    @Test
    void hostsThatSwapAddressesInOneListAreBothListed() {
        ownership.register("one", HERE, 3);
        ownership.register("two", THERE, 7);
        ownership.releaseIfMoved("one", THERE);
        ownership.releaseIfMoved("two", HERE);
        assertNull(ownership.register("one", THERE, 3));
        assertNull(ownership.register("two", HERE, 7));
    }

    @Test
    void addressIsFreeAfterItsHostMoved() {
        assertNull(ownership.register("young", HERE, 9));
        assertNull(ownership.register("young", THERE, 9));
        assertNull(ownership.register("old", HERE, 5));
        ownership.forget("young");
        assertNull(ownership.register("old", THERE, 5));
        assertNull(ownership.register("younger", HERE, 7));
        ownership.retain(List.of("old"));
        assertNull(ownership.register("oldest", HERE, 1));
    }

    /**
     * Guards against a list that is older than the one before: it names the replaced host again,
     * and requests to it would reach the host that took its address.
     */
    @Test
    void olderListDoesNotBringBackAReplacedHost() {
        assertNull(ownership.register("old", HERE, 5));
        ownership.forget("old");
        assertNull(ownership.register("new", HERE, 9));
        ownership.retain(List.of());
        assertEquals("old", ownership.register("old", HERE, 5));
        assertNull(ownership.register("old", THERE, 5), "it has moved");
        assertNull(ownership.register("new", HERE, 9));
    }

    /** Guards against wrong clocks: the start alone does not show which host came later. */
    @Test
    void hostListedForTheFirstTimeHoldsItsAddressWhateverItsStart() {
        assertNull(ownership.register("new", HERE, 9));
        ownership.forget("new");
        assertNull(ownership.register("newer", HERE, 5));
        ownership.retain(List.of());
        assertNull(ownership.register("newer", HERE, 5));
    }
}
