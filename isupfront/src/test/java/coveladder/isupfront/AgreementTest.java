package coveladder.isupfront;

import static org.junit.jupiter.api.Assertions.assertEquals;

import coveladder.CallPolicy.Load;
import coveladder.wire.Fields;
import coveladder.wire.ReportReader;
import coveladder.wire.SettingsReader;
import org.junit.jupiter.api.Test;

/**
 * Tests that the simulation host's input lines and the platform's configuration and messages give
 * the same settings and load figures.
 */
class AgreementTest {
  private static final String START_LINE =
      "START who=0 salt=1 classes.count=2 classes.0.name=voice classes.0.aim=1200.0"
          + " classes.0.giveUp=9000.0 classes.0.worth=1.0 classes.0.lateValue=0.25"
          + " classes.1.name=wide classes.1.aim=2500.0 classes.1.giveUp=9000.0 classes.1.worth=4.0"
          + " classes.1.lateValue=0.1 discovery=push familyInfo.allowedPools="
          + " familyInfo.layout=mesh familyInfo.selfNo=0 familyInfo.channelsNeeded=1,3"
          + " familyInfo.classHold=9800.0,15700.0 familyInfo.guard=300.0"
          + " familyInfo.retransmit=800.0 instances=3 resolution=5.0 permissions.attemptsCap=6"
          + " permissions.cancel=true permissions.mayProbe=false permissions.peers=false"
          + " permissions.retryAfter=true permissions.maxRetryAfter=2000.0 rules.coldFrom=0.28"
          + " rules.rampTime=13000.0 rules.fallMultiple=3.0 rules.fall=3000.0";

  @Test
  void startLineAndConfigurationGiveTheSameSettings() {
    assertEquals(
        SettingsReader.read(Fields.parseLine(START_LINE)),
        PlatformSettings.read(FrontEndHarness.CONFIG).policySettings());
  }

  @Test
  void reportColumnsAndLoadTextGiveTheSameFigures() {
    String[] columns = {"free", "size", "hold_back"};
    Load fromColumns = ReportReader.load(new double[] {12, 40, 0.25}, columns);
    assertEquals(fromColumns, Outcomes.parseLoad("free:12;size:40;hold_back:0.25"));
    assertEquals(fromColumns, Outcomes.parseLoad("x0:12;x1:40;eps:0.25"));
    Load withoutWait = ReportReader.load(new double[] {12, 40, -1}, columns);
    assertEquals(withoutWait, Outcomes.parseLoad("free:12;size:40;hold_back:-1"));
    assertEquals(withoutWait, Outcomes.parseLoad("free:12;size:40;hold_back:x;;:;other:1"));
    assertEquals(Load.UNKNOWN, Outcomes.parseLoad(""));
  }
}
