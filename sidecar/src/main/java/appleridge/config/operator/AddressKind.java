package appleridge.config.operator;

import appleridge.config.Addresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A literal IP address with a port; names are rejected because nothing resolves them. */
record AddressKind() implements ValueKind<InetSocketAddress> {
    @Override
    public InetSocketAddress read(SourceValue source) {
        Optional<InetSocketAddress> address =
                source.node().isTextual()
                        ? Addresses.parse(source.node().textValue())
                        : Optional.empty();
        if (address.isEmpty()) {
            source.reject(
                    "is not an address; write a literal one with its port, like \"192.0.2.1:8080\""
                            + " or \"[2001:db8::1]:8080\" (names are not looked up)");
        }
        return address.orElse(null);
    }

    @Override
    public String format(InetSocketAddress value) {
        return Addresses.format(value);
    }
}
