package appleridge.testbed.lease;

import appleridge.lease.Lease;
import appleridge.lease.LeaseActions;
import appleridge.lease.LeaseParameters;
import appleridge.lease.VersionedLease;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/**
 * Copies the state of a lease, and appends it to a state key in canonical form, so that equivalent
 * states have equal keys: times are relative to now, versions and request ids are replaced by their
 * rank. This takes two passes: the first gathers versions and request ids, the second writes.
 */
final class LeaseFields {
    /**
     * Earlier times are written as this one: no wait of the lease parameters, nor the sum of two,
     * distinguishes them.
     */
    private static final long MIN_RELATIVE_TIME = -64;

    /** Types of the constructor arguments of a lease, which never change. */
    private static final Set<Class<?>> CONSTANTS =
            Set.of(String.class, LeaseParameters.class, LeaseActions.class);

    private static final List<FieldPath> FIELDS = paths(Lease.class, List.of()).toList();

    /** A mutable field of the lease or of an object that it owns. */
    private record FieldPath(List<Field> owners, Field field) {
        Object get(Lease lease) throws IllegalAccessException {
            return field.get(owner(lease));
        }

        void set(Lease lease, Object value) throws IllegalAccessException {
            field.set(owner(lease), value);
        }

        private Object owner(Lease lease) throws IllegalAccessException {
            Object owner = lease;
            for (Field each : owners) {
                owner = each.get(owner);
            }
            return owner;
        }
    }

    /**
     * Finds every mutable field. A final field is either a constant or an object whose fields are
     * searched in turn, so that a state covers the whole lease.
     */
    private static Stream<FieldPath> paths(Class<?> type, List<Field> owners) {
        return Arrays.stream(type.getDeclaredFields())
                .filter(field -> !Modifier.isStatic(field.getModifiers()))
                .filter(field -> !CONSTANTS.contains(field.getType()))
                .peek(field -> field.setAccessible(true))
                .flatMap(
                        field -> {
                            if (!Modifier.isFinal(field.getModifiers())) {
                                return Stream.of(new FieldPath(owners, field));
                            }
                            List<Field> inner =
                                    Stream.concat(owners.stream(), Stream.of(field)).toList();
                            return paths(field.getType(), inner);
                        });
    }

    private static final Map<Class<?>, Method[]> PARTS = new ConcurrentHashMap<>();

    private final StringBuilder key;

    /** The canonical number of each holder. */
    private final int[] rank;

    /** The clock reading of each holder. */
    private final long[] now;

    private final TreeSet<Long> versions = new TreeSet<>();
    private final TreeSet<Long>[] requestIds;
    private boolean gathering = true;

    @SuppressWarnings({"unchecked", "rawtypes"})
    LeaseFields(StringBuilder key, int[] rank, long[] now) {
        this.key = key;
        this.rank = rank;
        this.now = now;
        requestIds = new TreeSet[rank.length];
        Arrays.setAll(requestIds, i -> new TreeSet<>());
    }

    static void copy(Lease from, Lease to) {
        try {
            for (FieldPath path : FIELDS) {
                path.set(to, path.get(from));
            }
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts the second pass and clears the key. */
    void write() {
        gathering = false;
        key.setLength(0);
    }

    void lease(int holder, Lease lease) {
        try {
            for (FieldPath path : FIELDS) {
                value(holder, path.field().getName(), path.get(lease));
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    void entry(VersionedLease entry) {
        if (entry == null) {
            key.append("- ");
            return;
        }
        int process = entry.nonce().charAt(0) - 'a';
        version(entry.version());
        key.append(entry.token())
                .append(' ')
                .append(rank[process])
                .append(entry.released() ? "r " : " ");
        requestId(process, Long.parseLong(entry.nonce().substring(2)));
    }

    void version(long version) {
        number(versions, version);
    }

    void requestId(int holder, long requestId) {
        number(requestIds[holder], requestId);
    }

    private void number(TreeSet<Long> all, long number) {
        if (gathering) {
            all.add(number);
        } else {
            key.append(all.headSet(number).size()).append(' ');
        }
    }

    private void value(int holder, String name, Object value) throws ReflectiveOperationException {
        if (value instanceof VersionedLease entry) {
            entry(entry);
        } else if (value instanceof Record) {
            for (Method part : PARTS.computeIfAbsent(value.getClass(), LeaseFields::parts)) {
                value(holder, part.getName(), part.invoke(value));
            }
        } else if (value instanceof Long number && name.startsWith("token")) {
            key.append(number).append(' ');
        } else if (value instanceof Long number
                && (name.equals("requestId") || name.endsWith("RequestId"))) {
            requestId(holder, number);
        } else if (value instanceof Long time) {
            key.append(
                            time == Long.MAX_VALUE
                                    ? time
                                    : Math.max(MIN_RELATIVE_TIME, time - now[holder]))
                    .append(' ');
        } else {
            key.append(value instanceof Enum<?> constant ? constant.ordinal() : value).append(' ');
        }
    }

    private static Method[] parts(Class<?> type) {
        return Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getAccessor)
                .peek(part -> part.setAccessible(true))
                .toArray(Method[]::new);
    }
}
