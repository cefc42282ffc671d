package coveladder.shape;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** The boundaries of docs/architecture.md. */
class BoundariesTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("coveladder");

  private static final String[] FREE_OF_IO = {
    "coveladder",
    "coveladder.core..",
    "coveladder.sip",
    "coveladder.sipfront..",
    "coveladder.standin..",
    "coveladder.wire..",
    "coveladder.isup..",
    "coveladder.isupfront.."
  };

  private static ArchRule noUseOf(String... packages) {
    return noClasses()
        .that()
        .resideInAnyPackage(FREE_OF_IO)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages);
  }

  @Test
  void theHeartOpensNoSocketAndStartsNoThread() {
    noUseOf("java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..")
        .check(ALL);
    noUseOf("org.glassfish..", "org.slf4j..", "io.micrometer..", "picocli..").check(ALL);
    noClasses()
        .that()
        .resideInAnyPackage(FREE_OF_IO)
        .should()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.util.Timer.class, java.util.Random.class)
        .check(ALL);
  }

  @Test
  void theHeartReadsNoClock() {
    noClasses()
        .that()
        .resideInAnyPackage(FREE_OF_IO)
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Math.class, "random")
        .check(ALL);
  }

  @Test
  void nothingOfSipIsInTheCore() {
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
        .check(ALL);
  }

  @Test
  void thePlatformsFrontKnowsNothingOfSip() {
    noClasses()
        .that()
        .resideInAnyPackage("coveladder.isup..", "coveladder.isupfront..", "coveladder.serve..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "coveladder.sip..", "coveladder.sipfront..", "coveladder.app..", "coveladder.store..")
        .check(ALL);
  }

  @Test
  void theCodecsKnowNothingOfTheCore() {
    noClasses()
        .that()
        .resideInAPackage("coveladder.isup..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("coveladder", "coveladder.core..", "coveladder.wire..")
        .check(ALL);
  }

  @Test
  void whatBothFrontsUseOfTheNetworkKnowsNothingOfSip() {
    noClasses()
        .that()
        .resideInAPackage("coveladder.net..")
        .and()
        .haveNameNotMatching(".*SocketNode.*")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("coveladder.sip..")
        .check(ALL);
  }

  @Test
  void theCheckerSharesNoCodeWithTheControllers() {
    noClasses()
        .that()
        .haveSimpleName("Checker")
        .or()
        .haveSimpleName("KnownList")
        .or()
        .haveSimpleName("WireMessage")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("coveladder", "coveladder.core..", "coveladder.sipfront..")
        .check(ALL);
  }

  @Test
  void theRulesCanFail() {
    ArchRule broken =
        noClasses()
            .that()
            .resideInAPackage("coveladder.net..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("java.net..");
    assertThrows(AssertionError.class, () -> broken.check(ALL));
  }
}
