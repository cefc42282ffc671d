package coveladder.shape;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Checks the package boundaries of docs/architecture.md. */
class BoundariesTest {
  private static final JavaClasses PRODUCTION_CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("coveladder");

  private static final String[] IO_FREE_PACKAGES = {
    "coveladder",
    "coveladder.core..",
    "coveladder.sip",
    "coveladder.sipfront..",
    "coveladder.standin..",
    "coveladder.wire..",
    "coveladder.isup..",
    "coveladder.isupfront.."
  };

  private static ArchRule ioFreePackagesDoNotUse(String... packages) {
    return noClasses()
        .that()
        .resideInAnyPackage(IO_FREE_PACKAGES)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages);
  }

  @Test
  void ioFreePackagesUseNoSocketsFilesOrThreads() {
    ioFreePackagesDoNotUse(
            "java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..")
        .check(PRODUCTION_CLASSES);
    ioFreePackagesDoNotUse("org.glassfish..", "org.slf4j..", "io.micrometer..", "picocli..")
        .check(PRODUCTION_CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage(IO_FREE_PACKAGES)
        .should()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.util.Timer.class, java.util.Random.class)
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void ioFreePackagesReadNoClockOrRandomNumber() {
    noClasses()
        .that()
        .resideInAnyPackage(IO_FREE_PACKAGES)
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Math.class, "random")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void coreDoesNotDependOnProtocols() {
    noClasses()
        .that()
        .resideInAPackage("coveladder.core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "coveladder.sip..",
            "coveladder.sipfront..",
            "coveladder.isup..",
            "coveladder.isupfront..",
            "coveladder.wire..")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void isupFrontEndDoesNotDependOnSip() {
    noClasses()
        .that()
        .resideInAnyPackage("coveladder.isup..", "coveladder.isupfront..", "coveladder.serve..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "coveladder.sip..", "coveladder.sipfront..", "coveladder.app..", "coveladder.store..")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void isupCodecsDoNotDependOnTheCore() {
    noClasses()
        .that()
        .resideInAPackage("coveladder.isup..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("coveladder", "coveladder.core..", "coveladder.wire..")
        .check(PRODUCTION_CLASSES);
  }

  /** SocketNode carries SIP; the other classes of the package serve both front ends. */
  @Test
  void sharedNetworkClassesDoNotDependOnSip() {
    noClasses()
        .that()
        .resideInAPackage("coveladder.net..")
        .and()
        .haveNameNotMatching(".*SocketNode.*")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("coveladder.sip..")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void checkerSharesNoCodeWithControllers() {
    noClasses()
        .that()
        .haveSimpleName("Checker")
        .or()
        .haveSimpleName("ReportedDirectory")
        .or()
        .haveSimpleName("WireMessage")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("coveladder", "coveladder.core..", "coveladder.sipfront..")
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void violationsAreDetected() {
    ArchRule broken =
        noClasses()
            .that()
            .resideInAPackage("coveladder.net..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("java.net..");
    assertThrows(AssertionError.class, () -> broken.check(PRODUCTION_CLASSES));
  }
}
