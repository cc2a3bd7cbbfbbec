package bitternpulley;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that dependencies between packages point inward: each package uses only the packages
 * allowed for it, and the pure core packages use no network, file or JSON classes.
 */
class PackagesTest {
  private static final String ROOT = "bitternpulley";
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages(ROOT);

  /** For each package, the other packages of this project that it may use. */
  private static final Map<String, Set<String>> ALLOWED =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry("routing", Set.of()),
              Map.entry("net", Set.of()),
              Map.entry("script", Set.of()),
              Map.entry("health", Set.of("routing")),
              Map.entry("policy", Set.of("routing", "health")),
              Map.entry("contracts", Set.of("routing")),
              Map.entry("membership", Set.of()),
              Map.entry("leases", Set.of()),
              Map.entry("broker", Set.of("routing", "policy", "contracts", "membership", "leases")),
              Map.entry(
                  "gossip", Set.of("routing", "net", "membership", "leases", "broker", "config")),
              Map.entry(
                  "config",
                  Set.of("routing", "net", "contracts", "script", "membership", "leases")),
              Map.entry("admin", Set.of("net", "broker", "contracts", "membership", "leases")),
              Map.entry("platform", Set.of("routing", "net", "broker", "config", "contracts")),
              Map.entry("opensearch", Set.of("routing", "net", "broker", "config", "contracts")),
              Map.entry("emulator", Set.of("net")),
              Map.entry("faultinjection", Set.of("net", "emulator")),
              Map.entry("benchmark", Set.of("net", "contracts", "emulator", "faultinjection")),
              Map.entry("simulator", Set.of("routing", "policy", "config")),
              Map.entry(
                  "aggregator",
                  Set.of(
                      "routing",
                      "net",
                      "contracts",
                      "membership",
                      "leases",
                      "broker",
                      "gossip",
                      "config",
                      "admin",
                      "platform",
                      "opensearch"))));

  /** Packages without input or output: events and values go in, effects and values come out. */
  private static final Set<String> PURE =
      Set.of(
          "routing", "health", "policy", "contracts", "broker", "script", "membership", "leases");

  private static Stream<String> packages() {
    return ALLOWED.keySet().stream();
  }

  private static Stream<String> purePackages() {
    return PURE.stream().sorted();
  }

  @ParameterizedTest
  @MethodSource("packages")
  void dependsOnlyOnAllowedPackages(String name) {
    Set<String> allowed =
        ALLOWED.get(name).stream().map(PackagesTest::qualified).collect(Collectors.toSet());
    allowed.add(qualified(name));
    classes()
        .that()
        .resideInAPackage(qualified(name))
        .should()
        .onlyDependOnClassesThat(
            describe(
                "are outside the project or in " + allowed,
                used -> !isProjectClass(used) || allowed.contains(used.getPackageName())))
        .check(CLASSES);
  }

  @ParameterizedTest
  @MethodSource("purePackages")
  void dependsOnNoNetworkFileOrJsonClasses(String name) {
    noClasses()
        .that()
        .resideInAPackage(qualified(name))
        .should()
        .dependOnClassesThat(
            describe("are network, file or JSON classes", PackagesTest::isInputOutputClass))
        .check(CLASSES);
  }

  @Test
  void packagesFormNoCycle() {
    slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void noPackageDependsOnTheRootPackage() {
    noClasses()
        .that()
        .resideOutsideOfPackage(ROOT)
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT)
        .check(CLASSES);
  }

  @Test
  void everyPackageIsListed() {
    Set<String> found =
        CLASSES.stream()
            .map(JavaClass::getPackageName)
            .filter(name -> !name.equals(ROOT))
            .map(name -> name.substring(ROOT.length() + 1))
            .collect(Collectors.toCollection(TreeSet::new));
    assertEquals(ALLOWED.keySet(), found);
  }

  private static String qualified(String name) {
    return ROOT + "." + name;
  }

  private static boolean isProjectClass(JavaClass used) {
    return used.getPackageName().equals(ROOT) || used.getPackageName().startsWith(ROOT + ".");
  }

  private static boolean isInputOutputClass(JavaClass used) {
    String name = used.getPackageName();
    return name.startsWith("java.net")
        || (name.startsWith("java.nio") && !name.equals("java.nio.charset"))
        || name.contains("jackson");
  }
}
