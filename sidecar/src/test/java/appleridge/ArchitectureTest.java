package appleridge;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.daemon.Main;
import appleridge.transport.SystemTime;
import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import io.netty.util.concurrent.EventExecutorGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Rules on dependencies between packages, and on the sources of time and randomness. */
class ArchitectureTest {
    private static final JavaClasses PRODUCT =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("appleridge");

    /** Value types in packages of input and output that perform neither. */
    private static final DescribedPredicate<JavaClass> VALUE_TYPES =
            belongToAnyOf(
                    TimeUnit.class,
                    InetSocketAddress.class,
                    InetAddress.class,
                    IOException.class,
                    UnknownHostException.class);

    private static final DescribedPredicate<JavaClass> PLAIN_JAVA =
            resideInAnyPackage(
                            "java.lang..",
                            "java.util",
                            "java.util.function",
                            "java.util.stream",
                            "java.util.regex",
                            "java.nio",
                            "java.nio.charset")
                    .or(VALUE_TYPES);
    private static final DescribedPredicate<JavaClass> PURE =
            PLAIN_JAVA.and(
                    not(
                            belongToAnyOf(
                                    Thread.class,
                                    Runtime.class,
                                    Process.class,
                                    ProcessBuilder.class)));

    private static DescribedPredicate<JavaClass> packages(String... names) {
        return resideInAnyPackage(names);
    }

    private static ArchRule mayDependOnlyOn(
            String packageName, DescribedPredicate<JavaClass> allowed) {
        return classes()
                .that()
                .resideInAPackage(packageName)
                .should()
                .onlyDependOnClassesThat(resideInAPackage(packageName).or(allowed));
    }

    @Test
    void decisionPackagesHaveNoInputOrOutputAndDependOnlyOnLowerLayers() {
        mayDependOnlyOn("appleridge.loadbalancing", PURE).check(PRODUCT);
        mayDependOnlyOn("appleridge.request", PURE.or(packages("appleridge.loadbalancing")))
                .check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.discovery",
                        PURE.or(packages("appleridge.loadbalancing", "appleridge.request")))
                .check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.discovery.ephemeral",
                        PURE.or(packages("appleridge.loadbalancing", "appleridge.discovery")))
                .check(PRODUCT);
        mayDependOnlyOn("appleridge.hotrestart", PURE).check(PRODUCT);
        mayDependOnlyOn("appleridge.lease", PURE).check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.admin",
                        PURE.or(
                                packages(
                                        "appleridge.loadbalancing",
                                        "appleridge.request",
                                        "appleridge.discovery",
                                        "appleridge.hotrestart")))
                .check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.config",
                        PURE.or(packages("appleridge.loadbalancing", "com.fasterxml.jackson..")))
                .check(PRODUCT);
    }

    /**
     * Guards against a protocol that can't be removed or replaced, and against a core that depends
     * on one protocol.
     */
    @Test
    void protocolsAndDiscoverySourcesDependOnTheCoreButNotOnEachOther() {
        DescribedPredicate<JavaClass> lowerLayers =
                packages(
                        "java..",
                        "io.netty..",
                        "appleridge.loadbalancing",
                        "appleridge.request",
                        "appleridge.config",
                        "appleridge.transport");
        mayDependOnlyOn("appleridge.http1", lowerLayers).check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.discovery.registry",
                        lowerLayers.or(packages("appleridge.discovery", "com.fasterxml.jackson..")))
                .check(PRODUCT);
        mayDependOnlyOn("appleridge.admin.protocol", lowerLayers.or(packages("appleridge.admin")))
                .check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.transport",
                        packages("java..", "io.netty..", "appleridge.request"))
                .check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.simulator",
                        packages("java..", "appleridge.loadbalancing", "appleridge.config"))
                .check(PRODUCT);
    }

    /**
     * Guards against a ZooKeeper client that can't be removed, and against decisions in its
     * adapter.
     */
    @Test
    void zooKeeperClientIsUsedInThreePackages() {
        mayDependOnlyOn(
                        "appleridge.discovery.zookeeper",
                        packages(
                                "java..",
                                "org.apache.zookeeper..",
                                "org.slf4j..",
                                "com.fasterxml.jackson..",
                                "appleridge.discovery",
                                "appleridge.discovery.ephemeral",
                                "appleridge.loadbalancing",
                                "appleridge.request",
                                "appleridge.transport",
                                "appleridge.config"))
                .check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.discovery.registration",
                        packages(
                                "java..",
                                "org.apache.zookeeper..",
                                "com.fasterxml.jackson..",
                                "appleridge.discovery.zookeeper",
                                "appleridge.transport",
                                "appleridge.config"))
                .check(PRODUCT);
        mayDependOnlyOn(
                        "appleridge.lease.store",
                        packages(
                                "java..",
                                "org.apache.zookeeper..",
                                "com.fasterxml.jackson..",
                                "appleridge.discovery.zookeeper",
                                "appleridge.transport",
                                "appleridge.lease"))
                .check(PRODUCT);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "appleridge.discovery.zookeeper",
                        "appleridge.discovery.registration",
                        "appleridge.lease.store")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.apache.zookeeper..", "org.slf4j..")
                .check(PRODUCT);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "appleridge.discovery.zookeeper",
                        "appleridge.discovery.registration",
                        "appleridge.lease.store",
                        "appleridge.lease.task")
                .and()
                .doNotHaveFullyQualifiedName("appleridge.daemon.OperatorFileStartup")
                .and()
                .haveNameNotMatching("appleridge\\.daemon\\.ZooKeeperStartup.*")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "appleridge.discovery.zookeeper", "appleridge.discovery.registration")
                .check(PRODUCT);
    }

    /** Guards against tests that start a ZooKeeper server, and a product that contains one. */
    @Test
    void zooKeeperServerIsNotUsed() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.zookeeper.server..")
                .check(new ClassFileImporter().importPackages("appleridge"));
    }

    /**
     * Guards against leases, and the library that parses their command's arguments, that add cost
     * to a sidecar without leases.
     */
    @Test
    void leasesAreUsedOnlyByTheirCommand() {
        mayDependOnlyOn(
                        "appleridge.lease.task",
                        packages(
                                "java..",
                                "picocli..",
                                "appleridge.lease",
                                "appleridge.lease.store",
                                "appleridge.discovery.zookeeper"))
                .check(PRODUCT);
        noClasses()
                .that()
                .resideOutsideOfPackage("appleridge.lease.task")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("picocli..")
                .check(PRODUCT);
        noClasses()
                .that()
                .resideOutsideOfPackage("appleridge.lease..")
                .and()
                .doNotBelongToAnyOf(Main.class)
                .and()
                .doNotHaveFullyQualifiedName("appleridge.daemon.OperatorFileStartup")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("appleridge.lease..")
                .check(PRODUCT);
    }

    /** Guards against support for an operator's file that adds cost to a sidecar without one. */
    @Test
    void operatorFileIsUsedOnlyByItsStartupClass() {
        mayDependOnlyOn(
                        "appleridge.config.operator",
                        packages("java..", "com.fasterxml.jackson..", "appleridge.config"))
                .check(PRODUCT);
        noClasses()
                .that()
                .resideOutsideOfPackage("appleridge.config.operator")
                .and()
                .doNotHaveFullyQualifiedName("appleridge.daemon.OperatorFileStartup")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("appleridge.config.operator")
                .check(PRODUCT);
    }

    @Test
    void noOtherPackageDependsOnTheDaemon() {
        noClasses()
                .that()
                .resideOutsideOfPackage("appleridge.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("appleridge.daemon..")
                .check(PRODUCT);
    }

    /**
     * Guards against a run that can't be replayed: time comes from the event loop's ticker, and
     * random numbers from a seed.
     */
    @Test
    void systemTimeAndRandomnessAreNotUsedDirectly() {
        NO_SYSTEM_TIME_OR_RANDOMNESS.check(PRODUCT);
    }

    @Test
    void timersAreCreatedOnlyByTransport() {
        noClasses()
                .that()
                .resideOutsideOfPackage("appleridge.transport")
                .should()
                .callMethodWhere(
                        new DescribedPredicate<JavaMethodCall>("an executor's timers") {
                            @Override
                            public boolean test(JavaMethodCall call) {
                                JavaClass owner = call.getTargetOwner();
                                return call.getName().startsWith("schedule")
                                        && (owner.isAssignableTo(EventExecutorGroup.class)
                                                || owner.isAssignableTo(
                                                        ScheduledExecutorService.class));
                            }
                        })
                .check(PRODUCT);
    }

    private static final ArchRule NO_SYSTEM_TIME_OR_RANDOMNESS =
            noClasses()
                    .that()
                    .doNotBelongToAnyOf(SystemTime.class)
                    .should()
                    .accessTargetWhere(
                            new DescribedPredicate<JavaAccess<?>>(
                                    "the system's time or randomness") {
                                @Override
                                public boolean test(JavaAccess<?> access) {
                                    String owner = access.getTargetOwner().getName();
                                    String name = access.getName();
                                    boolean isNow =
                                            owner.startsWith("java.time.") && name.equals("now");
                                    return isNow
                                            || owner.equals("java.lang.System")
                                                    && (name.equals("nanoTime")
                                                            || name.equals("currentTimeMillis"))
                                            || owner.equals("java.lang.Thread")
                                                    && name.equals("sleep")
                                            || owner.equals("java.lang.Math")
                                                    && name.equals("random")
                                            || owner.equals(UUID.class.getName())
                                                    && name.equals("randomUUID")
                                            || owner.equals(ThreadLocalRandom.class.getName());
                                }
                            })
                    .orShould()
                    .callConstructor(Random.class);

    /** Guards against rules that can never fail: each rule here has to detect a violation. */
    @Test
    void rulesDetectAViolation() {
        JavaClasses violation = new ClassFileImporter().importClasses(Violation.class);
        assertThrows(AssertionError.class, () -> NO_SYSTEM_TIME_OR_RANDOMNESS.check(violation));
        assertThrows(
                AssertionError.class,
                () ->
                        mayDependOnlyOn("appleridge", packages("java.lang..", "java.util.function"))
                                .check(violation));
    }

    /** Guards against a rule about a package that doesn't exist, which would always hold. */
    @Test
    void packagesAndClassesNamedInTheRulesExist() throws IOException {
        String source = Files.readString(Path.of("src/test/java/appleridge/ArchitectureTest.java"));
        List<String> names =
                Pattern.compile("\"(appleridge[\\w.\\\\]*)")
                        .matcher(source)
                        .results()
                        .map(found -> found.group(1).replace("\\\\", ""))
                        .map(name -> name.replaceAll("\\.+$", ""))
                        .toList();
        assertTrue(names.size() > 50, "the pattern finds the names in this file");
        for (String name : names) {
            assertTrue(
                    PRODUCT.stream()
                            .anyMatch(each -> (each.getName() + ".").startsWith(name + ".")),
                    name);
        }
    }

    private static final class Violation {
        final java.util.function.LongSupplier clock = System::nanoTime;
        final Random random = new Random();
    }
}
