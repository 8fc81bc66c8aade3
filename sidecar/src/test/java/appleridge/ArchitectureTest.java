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

/** The walls between packages, and the one source of time and chance. */
class ArchitectureTest {
    private static final JavaClasses PRODUCT =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("appleridge");

    /** Values that look like input and output and are none. */
    private static final DescribedPredicate<JavaClass> VALUES =
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
                    .or(VALUES);
    private static final DescribedPredicate<JavaClass> PURE =
            PLAIN_JAVA.and(
                    not(
                            belongToAnyOf(
                                    Thread.class,
                                    Runtime.class,
                                    Process.class,
                                    ProcessBuilder.class)));

    private static DescribedPredicate<JavaClass> rooms(String... names) {
        return resideInAnyPackage(names);
    }

    private static ArchRule only(String room, DescribedPredicate<JavaClass> allowed) {
        return classes()
                .that()
                .resideInAPackage(room)
                .should()
                .onlyDependOnClassesThat(resideInAPackage(room).or(allowed));
    }

    @Test
    void decidersArePureAndKnowOnlyWhatStandsBelowThem() {
        only("appleridge.loadbalancing", PURE).check(PRODUCT);
        only("appleridge.request", PURE.or(rooms("appleridge.loadbalancing"))).check(PRODUCT);
        only(
                        "appleridge.discovery",
                        PURE.or(rooms("appleridge.loadbalancing", "appleridge.request")))
                .check(PRODUCT);
        only(
                        "appleridge.discovery.ephemeral",
                        PURE.or(rooms("appleridge.loadbalancing", "appleridge.discovery")))
                .check(PRODUCT);
        only("appleridge.hotrestart", PURE).check(PRODUCT);
        only("appleridge.lease", PURE).check(PRODUCT);
        only(
                        "appleridge.admin",
                        PURE.or(
                                rooms(
                                        "appleridge.loadbalancing",
                                        "appleridge.request",
                                        "appleridge.discovery",
                                        "appleridge.hotrestart")))
                .check(PRODUCT);
        only(
                        "appleridge.config",
                        PURE.or(rooms("appleridge.loadbalancing", "com.fasterxml.jackson..")))
                .check(PRODUCT);
    }

    /**
     * Guards against one protocol that can't be left out, and against a core that only it can use.
     */
    @Test
    void protocolsAndSourcesKnowTheCoreAndNotEachOther() {
        DescribedPredicate<JavaClass> below =
                rooms(
                        "java..",
                        "io.netty..",
                        "appleridge.loadbalancing",
                        "appleridge.request",
                        "appleridge.config",
                        "appleridge.transport");
        only("appleridge.http1", below).check(PRODUCT);
        only(
                        "appleridge.discovery.registry",
                        below.or(rooms("appleridge.discovery", "com.fasterxml.jackson..")))
                .check(PRODUCT);
        only("appleridge.admin.protocol", below.or(rooms("appleridge.admin"))).check(PRODUCT);
        only("appleridge.transport", rooms("java..", "io.netty..", "appleridge.request"))
                .check(PRODUCT);
        only(
                        "appleridge.simulator",
                        rooms("java..", "appleridge.loadbalancing", "appleridge.config"))
                .check(PRODUCT);
    }

    /** Guards against a client that can't be left out, and against one that decides. */
    @Test
    void zooKeepersClientIsKnownInThreePlaces() {
        only(
                        "appleridge.discovery.zookeeper",
                        rooms(
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
        only(
                        "appleridge.discovery.registration",
                        rooms(
                                "java..",
                                "org.apache.zookeeper..",
                                "com.fasterxml.jackson..",
                                "appleridge.discovery.zookeeper",
                                "appleridge.transport",
                                "appleridge.config"))
                .check(PRODUCT);
        only(
                        "appleridge.lease.store",
                        rooms(
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

    /** Guards against tests that start another system's server, and a product that carries one. */
    @Test
    void nothingKnowsZooKeepersServer() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.zookeeper.server..")
                .check(new ClassFileImporter().importPackages("appleridge"));
    }

    /**
     * Guards against leases, and a library for a command's arguments, that cost something where
     * none are.
     */
    @Test
    void leasesAreKnownOnlyToTheirCommand() {
        only(
                        "appleridge.lease.task",
                        rooms(
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

    /** Guards against an operator's file that costs something where there is none. */
    @Test
    void theOperatorsFileIsKnownInOnePlace() {
        only(
                        "appleridge.config.operator",
                        rooms("java..", "com.fasterxml.jackson..", "appleridge.config"))
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
    void nothingKnowsTheWholeButItself() {
        noClasses()
                .that()
                .resideOutsideOfPackage("appleridge.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("appleridge.daemon..")
                .check(PRODUCT);
    }

    /**
     * Guards against a run that can't be played again: time is the loop's ticker's, chance is
     * seeded.
     */
    @Test
    void timeAndChanceComeFromOutside() {
        ONE_SOURCE_OF_TIME.check(PRODUCT);
    }

    @Test
    void timersAreMadeInOnePlace() {
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

    private static final ArchRule ONE_SOURCE_OF_TIME =
            noClasses()
                    .that()
                    .doNotBelongToAnyOf(SystemTime.class)
                    .should()
                    .accessTargetWhere(
                            new DescribedPredicate<JavaAccess<?>>("the system's time or chance") {
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

    /** A wall that nobody could run into would hold nothing: the testbed's own test of the rule. */
    @Test
    void theRuleOfTimeSeesWhoBreaksIt() {
        JavaClasses offender = new ClassFileImporter().importClasses(Offender.class);
        assertThrows(AssertionError.class, () -> ONE_SOURCE_OF_TIME.check(offender));
        assertThrows(
                AssertionError.class,
                () ->
                        only("appleridge", rooms("java.lang..", "java.util.function"))
                                .check(offender));
    }

    /** A rule about a package that is not there holds for ever. */
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
        assertTrue(names.size() > 50, "names are found");
        for (String name : names) {
            assertTrue(
                    PRODUCT.stream()
                            .anyMatch(each -> (each.getName() + ".").startsWith(name + ".")),
                    name);
        }
    }

    private static final class Offender {
        final java.util.function.LongSupplier clock = System::nanoTime;
        final Random random = new Random();
    }
}
