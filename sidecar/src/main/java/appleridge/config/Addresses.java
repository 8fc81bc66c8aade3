package appleridge.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Parses literal IP addresses. Names are never resolved: a DNS look-up would block the event loop,
 * and the machines that the sidecar runs on need not have DNS.
 */
public final class Addresses {
    private static final int MAX_CHARS = 64;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTE = 255;
    private static final int MAX_DIGITS = 5;
    private static final int IPV4_BYTES = 4;
    private static final int NOT_A_NUMBER = -1;

    private Addresses() {}

    /**
     * Parses {@code 192.0.2.1:80} or {@code [2001:db8::1]:80}; empty for any other text, including
     * host names.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || text.length() > MAX_CHARS) {
            return Optional.empty();
        }
        int port = parseNumber(text.substring(colon + 1), 1, MAX_PORT);
        if (port == NOT_A_NUMBER) {
            return Optional.empty();
        }
        return host(text.substring(0, colon)).map(host -> new InetSocketAddress(host, port));
    }

    /** The form that {@link #parse} parses, with an IPv6 address in brackets. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    private static Optional<InetAddress> host(String text) {
        try {
            return text.startsWith("[") && text.endsWith("]") ? ipv6(text) : ipv4(text);
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses a bracketed IPv6 address. Text with characters that no IPv6 address has is rejected,
     * so that {@link InetAddress#getByName} never resolves a name.
     */
    private static Optional<InetAddress> ipv6(String bracketed) throws UnknownHostException {
        boolean literal =
                bracketed
                        .chars()
                        .skip(1)
                        .limit(bracketed.length() - 2L)
                        .allMatch(Addresses::isIpv6Character);
        return literal ? Optional.of(InetAddress.getByName(bracketed)) : Optional.empty();
    }

    private static Optional<InetAddress> ipv4(String text) throws UnknownHostException {
        String[] parts = text.split("\\.", -1);
        if (parts.length != IPV4_BYTES) {
            return Optional.empty();
        }
        byte[] bytes = new byte[IPV4_BYTES];
        for (int i = 0; i < bytes.length; i++) {
            int part = parseNumber(parts[i], 0, MAX_BYTE);
            if (part == NOT_A_NUMBER) {
                return Optional.empty();
            }
            bytes[i] = (byte) part;
        }
        return Optional.of(InetAddress.getByAddress(bytes));
    }

    private static boolean isIpv6Character(int c) {
        return c >= '0' && c <= '9'
                || c >= 'a' && c <= 'f'
                || c >= 'A' && c <= 'F'
                || c == ':'
                || c == '.';
    }

    /**
     * Parses a decimal number without leading zeros; {@link #NOT_A_NUMBER} if it is malformed or
     * outside of {@code min} to {@code max}.
     */
    private static int parseNumber(String text, int min, int max) {
        if (text.isEmpty()
                || text.length() > MAX_DIGITS
                || text.length() > 1 && text.charAt(0) == '0'
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return NOT_A_NUMBER;
        }
        int value = Integer.parseInt(text);
        return value >= min && value <= max ? value : NOT_A_NUMBER;
    }
}
