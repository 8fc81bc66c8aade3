package appleridge.testbed;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
    /** Guards against tests that start a third-party server: all stand-ins are in this project. */
    @Test
    void noClassDependsOnTheZooKeeperServer() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.zookeeper.server..")
                .check(new ClassFileImporter().importPackages("appleridge"));
    }

    /** Guards against a coordination stand-in that runs only with real sockets and threads. */
    @Test
    void coreOfTheCoordinationStandInUsesNoSocketsOrThreads() {
        noClasses()
                .that()
                .haveNameMatching(
                        "appleridge\\.testbed\\.coordination\\."
                                + "(Change|Tree|Rules|Watches|Visit|Ensemble|Member)(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net",
                        "java.nio.channels",
                        "java.nio.file",
                        "java.util.concurrent..")
                .check(new ClassFileImporter().importPackages("appleridge.testbed.coordination"));
    }
}
