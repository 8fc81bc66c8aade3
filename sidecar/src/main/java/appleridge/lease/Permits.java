package appleridge.lease;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Up to so many permits of one name. Each is a record with a lease of its own, so that no more are
 * held in the fleet than there are records, whatever fails. Events go to the leases, and after each
 * of them {@code look} is called.
 */
public final class Permits {
    /** Each permit is renewed by itself: a name with more would wear the store out. */
    public static final int MOST = 64;

    private final List<Lease> leases;
    private int wanted;

    /** With what makes the lease of each permit, from 0 on. */
    public Permits(int count, IntFunction<Lease> lease) {
        if (count < 1 || count > MOST) {
            throw new IllegalArgumentException("permits out of range: " + count);
        }
        leases = IntStream.range(0, count).mapToObj(lease).toList();
    }

    /** All permits there are, each with its lease, held or not. */
    public List<Lease> leases() {
        return leases;
    }

    /** Wants so many from now on. Those above are not used from now on, and given up. */
    public void want(long now, int permits) {
        wanted = Math.max(0, Math.min(permits, leases.size()));
        look(now);
    }

    /** Seeks what is missing, in all lines at once, for it isn't known which comes free next. */
    public void look(long now) {
        int held = 0;
        for (Lease lease : leases) {
            boolean holds = lease.grant() != null;
            if (holds && held < wanted) {
                held++;
            } else if (holds) {
                lease.giveUp(now);
            }
        }
        for (Lease lease : leases) {
            boolean seeks =
                    lease.state() == LeaseState.SEEKING || lease.state() == LeaseState.REFUSING;
            if (held < wanted) {
                lease.seek(now);
            } else if (seeks) {
                lease.giveUp(now);
            }
        }
    }

    /** How many may be used now for something that ends within that time. */
    public int usable(long now, long lasting) {
        return (int)
                leases.stream().filter(lease -> lease.mayBegin(now, lasting)).limit(wanted).count();
    }
}
