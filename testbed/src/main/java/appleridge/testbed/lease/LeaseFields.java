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
 * Copies what a lease knows, and writes it down so that states come together which differ in
 * nothing that matters: times as how long ago, versions and questions by their order alone. So it
 * takes two rounds: what is there is gathered, then written.
 */
final class LeaseFields {
    /** What is longer ago can't be told apart by any wait of the terms, nor by sums of two. */
    private static final long LONG_AGO = -64;

    /** What a lease is made with, and never changes. */
    private static final Set<Class<?>> CONSTANTS =
            Set.of(String.class, LeaseParameters.class, LeaseActions.class);

    private static final List<FieldPath> FIELDS = paths(Lease.class, List.of()).toList();

    /** A field that changes: of the lease itself, or of an object that it owns. */
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
     * Every field that changes; a final one is either a constant or an object whose own fields are
     * gone through, so that no part of a lease is left out of a state.
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

    /** New numbers of the holders, and the time by the clock of each. */
    private final int[] rank;

    private final long[] now;
    private final TreeSet<Long> versions = new TreeSet<>();
    private final TreeSet<Long>[] questions;
    private boolean gathering = true;

    @SuppressWarnings({"unchecked", "rawtypes"})
    LeaseFields(StringBuilder key, int[] rank, long[] now) {
        this.key = key;
        this.rank = rank;
        this.now = now;
        questions = new TreeSet[rank.length];
        Arrays.setAll(questions, i -> new TreeSet<>());
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

    /** The second round. */
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
        question(process, Long.parseLong(entry.nonce().substring(2)));
    }

    void version(long version) {
        number(versions, version);
    }

    void question(int holder, long question) {
        number(questions[holder], question);
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
            question(holder, number);
        } else if (value instanceof Long time) {
            key.append(time == Long.MAX_VALUE ? time : Math.max(LONG_AGO, time - now[holder]))
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
