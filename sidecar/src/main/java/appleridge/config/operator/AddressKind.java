package appleridge.config.operator;

import appleridge.config.Addresses;
import java.net.InetSocketAddress;

/** {@code 192.0.2.1:80} or {@code [2001:db8::1]:80}; never a name, for nothing is looked up. */
record AddressKind() implements ValueKind<InetSocketAddress> {
    @Override
    public InetSocketAddress read(SourceValue cell) {
        String text = cell.node().isTextual() ? cell.node().textValue() : "";
        InetSocketAddress address = Addresses.literal(text);
        if (address != null) {
            return address;
        }
        cell.wrong(
                "is not an address; write a literal one with its port, like \"192.0.2.1:8080\""
                        + " or \"[2001:db8::1]:8080\" (names are not looked up)");
        return null;
    }

    @Override
    public String show(InetSocketAddress value) {
        String host = value.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + value.getPort();
    }
}
