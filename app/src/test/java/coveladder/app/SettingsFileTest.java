package coveladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.sip.Transport;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsFileTest {
  static final String SOUND =
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
  void whatIsNotWrittenHasItsUsualValue() throws SettingsFile.Unusable {
    Settings settings = SettingsFile.read("x.kdl", SOUND);
    assertEquals("127.0.0.1", settings.listen().host());
    assertEquals(Transport.UDP, settings.ownSwitch().transport());
    assertEquals(Transport.TCP, settings.list().transport());
    assertEquals(300, settings.rules().guardTime());
    assertEquals(8, settings.rules().classes().get(1).worth());
    assertEquals(List.of("", "cove.2"), settings.front().classes().priorities());
    assertEquals(2, settings.front().classes().prefixes().size());
  }

  @Test
  void everyProblemIsNamedWithItsPlace() {
    assertProblems(
        SOUND.replace("give-up=9000", "giveup=9000"),
        "x.kdl:7:1: class lacks give-up, a number",
        "x.kdl:7:37: unknown property of class giveup; did you mean give-up?");
    assertProblems(
        SOUND.replace("number=0", "number=\"none\"") + "calls guard=-1\n",
        "x.kdl:3:17: number is a number from 0 to 9999, not none",
        "x.kdl:10:13: guard is a number from 0 to 3600000, not -1");
    assertProblems(
        SOUND.replace("\"udp\"", "\"udq\""),
        "x.kdl:5:28: unknown transport udq; did you mean udp?");
    assertProblems(SOUND + "domain \"again\"\n", "x.kdl:10:1: node domain stands twice");
    assertProblems(
        SOUND + "state recover-per-second=0\n",
        "x.kdl:10:1: state lacks folder, a string",
        "x.kdl:10:26: recover-per-second is a number from 1 to 100000, not 0");
    assertProblems("listen port=\"", "x.kdl:1:13: string without its \"");
  }

  private static void assertProblems(String document, String... problems) {
    SettingsFile.Unusable e =
        assertThrows(SettingsFile.Unusable.class, () -> SettingsFile.read("x.kdl", document));
    assertEquals(List.of(problems), e.problems());
  }

  @Test
  void aReloadSaysWhatCannotChange() throws SettingsFile.Unusable {
    Settings before = SettingsFile.read("x.kdl", SOUND);
    Settings free = SettingsFile.read("x.kdl", SOUND + "calls most=5 patience=70\n");
    assertEquals(List.of(), before.fixedDifferences(free));
    Settings fixed =
        SettingsFile.read("x.kdl", SOUND.replace("worth=8", "worth=9") + "calls guard=1\n");
    List<String> named = before.fixedDifferences(fixed);
    assertEquals("class", named.get(0));
    assertTrue(named.get(1).startsWith("calls attempts, guard"), named.toString());
  }
}
