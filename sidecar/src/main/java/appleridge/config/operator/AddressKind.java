package appleridge.config.operator;

import appleridge.config.Addresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** {@code 192.0.2.1:80} or {@code [2001:db8::1]:80}; never a name, for nothing is looked up. */
record AddressKind() implements ValueKind<InetSocketAddress> {
    @Override
    public InetSocketAddress read(SourceValue cell) {
        Optional<InetSocketAddress> address =
                cell.node().isTextual()
                        ? Addresses.literal(cell.node().textValue())
                        : Optional.empty();
        if (address.isEmpty()) {
            cell.reject(
                    "is not an address; write a literal one with its port, like \"192.0.2.1:8080\""
                            + " or \"[2001:db8::1]:8080\" (names are not looked up)");
        }
        return address.orElse(null);
    }

    @Override
    public String show(InetSocketAddress value) {
        return Addresses.format(value);
    }
}
