package coveladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.sip.Transport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings documents: defaults, problems with their positions, and reloads. */
class SettingsFileTest {
  static final String VALID =
      """
      listen port=0
      domain "x0.example"
      exchange number=0
      fleet controllers=2
      switch port=5070 transport="udp"
      list port=5080
      class "score-check" aim=1200 give-up=9000 hold=8000 default=#true
      class "lineup-save" worth=8 late=0.2 aim=1000 give-up=6000 hold=6000 priority="Cove.2" \\
        prefixes="777 888"
      """;

  @Test
  void missingSettingsHaveDefaults() throws SettingsFile.UnusableSettingsException {
    Settings settings = SettingsFile.read("x.kdl", VALID);
    assertEquals("127.0.0.1", settings.listenAddress().host());
    assertEquals(Transport.UDP, settings.localSwitch().transport());
    assertEquals(Transport.TCP, settings.directoryServer().transport());
    assertEquals(300, settings.policySettings().guardTime());
    assertEquals(8, settings.policySettings().classes().get(1).worth());
    assertEquals(List.of("", "cove.2"), settings.frontEndSettings().classes().priorities());
    assertEquals(2, settings.frontEndSettings().classes().prefixes().size());
  }

  @Test
  void problemsAreReportedWithTheirPositions() {
    assertProblems(
        VALID.replace("give-up=9000", "giveup=9000"),
        "x.kdl:7:1: class lacks give-up, a number",
        "x.kdl:7:37: unknown property of class giveup; did you mean give-up?");
    assertProblems(
        VALID.replace("number=0", "number=\"none\"") + "calls guard=-1\n",
        "x.kdl:3:17: number is a number from 0 to 9999, not none",
        "x.kdl:10:13: guard is a number from 0 to 3600000, not -1");
    assertProblems(
        VALID.replace("\"udp\"", "\"udq\""),
        "x.kdl:5:28: unknown transport udq; did you mean udp?");
    assertProblems(VALID + "domain \"again\"\n", "x.kdl:10:1: node domain appears more than once");
    assertProblems(
        VALID + "state recover-per-second=0\n",
        "x.kdl:10:1: state lacks folder, a string",
        "x.kdl:10:26: recover-per-second is a number from 1 to 100000, not 0");
    assertProblems("listen port=\"", "x.kdl:1:13: string without its \"");
  }

  private static void assertProblems(String document, String... problems) {
    SettingsFile.UnusableSettingsException e =
        assertThrows(
            SettingsFile.UnusableSettingsException.class,
            () -> SettingsFile.read("x.kdl", document));
    assertEquals(List.of(problems), e.problems());
  }

  @Test
  void changesThatNeedARestartAreListed() throws SettingsFile.UnusableSettingsException {
    Settings before = SettingsFile.read("x.kdl", VALID);
    Settings reloadable = SettingsFile.read("x.kdl", VALID + "calls most=5 patience=70\n");
    assertEquals(List.of(), before.changesNeedingRestart(reloadable));
    Settings withFixedChanges =
        SettingsFile.read("x.kdl", VALID.replace("worth=8", "worth=9") + "calls guard=1\n");
    List<String> names = before.changesNeedingRestart(withFixedChanges);
    assertEquals("class", names.get(0));
    assertTrue(names.get(1).startsWith("calls attempts, guard"), names.toString());
  }
}
