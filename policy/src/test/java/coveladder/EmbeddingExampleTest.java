package coveladder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.CallClass;
import coveladder.CallPolicy.DirectoryUpdate;
import coveladder.CallPolicy.Exchange;
import coveladder.CallPolicy.ExchangeState;
import coveladder.CallPolicy.Layout;
import coveladder.CallPolicy.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The example that README names: a module inside a controller of one's own. */
class EmbeddingExampleTest {

  @Test
  void aControllerUsesThePolicy() {
    CallClass lookup = new CallClass(1, 0.25, 1200, 9000, 1, 10000, List.of());
    CallClass save = new CallClass(8, 0.25, 1000, 6000, 1, 6000, List.of());
    Settings settings =
        new Settings(
            Layout.MESH,
            0,
            2,
            List.of(lookup, save),
            5,
            6,
            true,
            false,
            false,
            2000,
            false,
            300,
            800,
            0.3,
            13000,
            3,
            3000);
    RecordingActions actions = new RecordingActions();

    CallPolicy policy = new NestedThresholdPolicy(settings, 42, actions);
    policy.onStart(0);
    List<Exchange> exchanges =
        List.of(
            new Exchange("here", 0, ExchangeState.IN_SERVICE, 0),
            new Exchange("there", 1, ExchangeState.IN_SERVICE, 0));
    policy.onDirectoryUpdate(0, new DirectoryUpdate(false, true, exchanges));
    policy.onCall(10, new Call("call-1", 1, 2000, 1, "5550100", 1, false, false, false));

    assertEquals(List.of("there"), actions.exchangesTried("call-1"));
  }
}
