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

/** The example that README refers to: the policy embedded in another controller. */
class EmbeddingExampleTest {

  @Test
  void aControllerUsesThePolicy() {
    CallClass lookup = new CallClass(1, 0.25, 1200, 9000, 1, 10000, List.of());
    CallClass save = new CallClass(8, 0.25, 1000, 6000, 1, 6000, List.of());
    Settings settings =
        new Settings(
            Layout.MESH,
            /* localExchange= */ 0,
            /* controllerCount= */ 2,
            /* classes= */ List.of(lookup, save),
            /* clockResolution= */ 5,
            /* maxAttempts= */ 6,
            /* mayCancel= */ true,
            /* mayProbe= */ false,
            /* mayBroadcast= */ false,
            /* maxRetryAfter= */ 2000,
            /* directoryOnRequest= */ false,
            /* guardTime= */ 300,
            /* retransmitAfter= */ 800,
            /* coldShare= */ 0.3,
            /* rampTime= */ 13000,
            /* coldMultiple= */ 3,
            /* coldWindow= */ 3000);
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
