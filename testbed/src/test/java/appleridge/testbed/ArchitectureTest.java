package appleridge.testbed;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
    /** Guards against proofs that start another system's server: all stand-ins are our own. */
    @Test
    void nothingKnowsAThirdPartysServer() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.zookeeper.server..")
                .check(new ClassFileImporter().importPackages("appleridge"));
    }

    /** Guards against a coordination stand-in that only real sockets and threads can play. */
    @Test
    void theCoordinationStandInsCoreIsPure() {
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
