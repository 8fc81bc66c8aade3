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

    private final AddressOwnership holders = new AddressOwnership();

    @Test
    void hostThatStartedLastHoldsTheAddressInAnyListOrder() {
        assertNull(holders.register("old", HERE, 5));
        assertEquals("old", holders.register("new", HERE, 9));
        assertEquals("old", holders.register("old", HERE, 5), "still listed, still not there");
        assertNull(holders.register("new", HERE, 9));
    }

    @Test
    void hostsOfEqualStartAreNotDisplaced() {
        assertNull(holders.register("one", HERE, 0));
        assertNull(holders.register("two", HERE, 0));
        assertNull(holders.register("one", HERE, 0));
    }

    /** Guards against a live upstream that is told as gone because two have swapped addresses. */
    @Test
    void hostsThatSwapAddressesInOneListAreBothListed() {
        holders.register("one", HERE, 3);
        holders.register("two", THERE, 7);
        holders.releaseIfMoved("one", THERE);
        holders.releaseIfMoved("two", HERE);
        assertNull(holders.register("one", THERE, 3));
        assertNull(holders.register("two", HERE, 7));
    }

    @Test
    void addressIsFreeAfterItsHostMoved() {
        assertNull(holders.register("young", HERE, 9));
        assertNull(holders.register("young", THERE, 9));
        assertNull(holders.register("old", HERE, 5));
        holders.forget("young");
        assertNull(holders.register("old", THERE, 5));
        assertNull(holders.register("younger", HERE, 7));
        holders.retain(List.of("old"));
        assertNull(holders.register("oldest", HERE, 1));
    }

    /**
     * Guards against a list that is older than the one before: what is sent there reaches the later
     * one.
     */
    @Test
    void replacedHostDoesNotReturnByAnOlderList() {
        assertNull(holders.register("old", HERE, 5));
        holders.forget("old");
        assertNull(holders.register("new", HERE, 9));
        holders.retain(List.of());
        assertEquals("old", holders.register("old", HERE, 5));
        assertNull(holders.register("old", THERE, 5), "it has moved");
        assertNull(holders.register("new", HERE, 9));
    }

    /** Guards against false clocks: a start alone doesn't tell who came later. */
    @Test
    void hostListedForTheFirstTimeHoldsItsAddressWhateverItsStart() {
        assertNull(holders.register("new", HERE, 9));
        holders.forget("new");
        assertNull(holders.register("newer", HERE, 5));
        holders.retain(List.of());
        assertNull(holders.register("newer", HERE, 5));
    }
}
