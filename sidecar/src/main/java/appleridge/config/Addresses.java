package appleridge.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Addresses as text. Danger: a name would be looked up, on the loop, in a place that has no DNS.
 */
public final class Addresses {
    private static final int LONGEST = 64;
    private static final int MOST_PORT = 65_535;

    private Addresses() {}

    /** {@code 192.0.2.1:80} or {@code [2001:db8::1]:80}; null for all else, names too. */
    public static InetSocketAddress literal(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || text.length() > LONGEST) {
            return null;
        }
        InetAddress host = host(text.substring(0, colon));
        int port = number(text.substring(colon + 1), 1, MOST_PORT);
        return host != null && port > 0 ? new InetSocketAddress(host, port) : null;
    }

    private static InetAddress host(String text) {
        try {
            if (text.startsWith("[") && text.endsWith("]")) {
                // Danger: only what is in brackets and has no other characters is surely taken for
                // a literal.
                return text.chars().skip(1).limit(text.length() - 2L).allMatch(Addresses::isOfIpv6)
                        ? InetAddress.getByName(text)
                        : null;
            }
            String[] parts = text.split("\\.", -1);
            byte[] bytes = new byte[4];
            boolean sound = parts.length == bytes.length;
            for (int i = 0; sound && i < bytes.length; i++) {
                int part = number(parts[i], 0, 255);
                sound = part >= 0;
                bytes[i] = (byte) part;
            }
            return sound ? InetAddress.getByAddress(bytes) : null;
        } catch (UnknownHostException e) {
            return null;
        }
    }

    private static boolean isOfIpv6(int c) {
        return c >= '0' && c <= '9'
                || c >= 'a' && c <= 'f'
                || c >= 'A' && c <= 'F'
                || c == ':'
                || c == '.';
    }

    /** A decimal number without leading zeros, within bounds; -1 if it is none. */
    private static int number(String text, int least, int most) {
        if (text.isEmpty()
                || text.length() > 5
                || text.length() > 1 && text.charAt(0) == '0'
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        int value = Integer.parseInt(text);
        return value >= least && value <= most ? value : -1;
    }
}
