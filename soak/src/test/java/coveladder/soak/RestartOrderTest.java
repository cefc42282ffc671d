package coveladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.isup.CallerMessage;
import coveladder.serve.LoopbackPlatform;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Orders of messages after a kill and restart, on processes started by the run line. */
@Timeout(90)
class RestartOrderTest {
  private static final String CALL_ID = "f5c30ded81fcef03";

  /** Time within which a call that is over must be released towards its caller, ms. */
  private static final int RELEASE_LIMIT_MILLIS = 1_050;

  private static final int NORMAL_CLEARING = 16;

  @TempDir private Path folder;

  private LoopbackPlatform establishAndRestart() throws Exception {
    LoopbackPlatform platform = new LoopbackPlatform(folder, RunLine.command(), RunLine.ROOT);
    platform.sendSetUp(CALL_ID);
    assertEquals(CallerMessage.ANSWER, platform.answerCall(CALL_ID, "made").type());
    platform.killController();
    platform.startController();
    platform.acceptSwitchSilently();
    return platform;
  }

  /** Waits until the controller passes a test, which shows that it has read the load report. */
  private static Socket connectAdmittedCaller(LoopbackPlatform platform) throws Exception {
    Socket caller = platform.connectCaller();
    int passed = 0;
    while (passed == 0) {
      platform.sendWithCause(caller, CallerMessage.TEST, "0000000000000001", 0);
      passed = platform.readCallerMessage().cause();
      Thread.sleep(passed == 0 ? 20 : 0);
    }
    caller.setSoTimeout(RELEASE_LIMIT_MILLIS);
    return caller;
  }

  /** The switch's release of a call precedes the caller's word that the call is established. */
  @Test
  void releaseReadBeforeItsCallIsResumedReachesTheCaller() throws Exception {
    try (LoopbackPlatform platform = establishAndRestart()) {
      platform.sendSwitchRelease(CALL_ID, NORMAL_CLEARING);
      platform.sendLoadReport();
      Socket caller = connectAdmittedCaller(platform);
      platform.resumeCall(caller, CALL_ID);
      CallerMessage release = platform.readCallerMessage();
      assertEquals(CallerMessage.RELEASE, release.type());
      assertEquals(CALL_ID, release.callId());
      assertEquals(NORMAL_CLEARING, release.cause());
    }
  }

  /** The caller's release, on one connection, overtakes its resumption on another. */
  @Test
  void callerReleaseReadBeforeItsCallIsResumedReachesTheSwitch() throws Exception {
    try (LoopbackPlatform platform = establishAndRestart()) {
      platform.sendLoadReport();
      Socket other = connectAdmittedCaller(platform);
      platform.sendWithCause(other, CallerMessage.RELEASE, CALL_ID, NORMAL_CLEARING);
      assertEquals(CallerMessage.RELEASE_HEARD, platform.readCallerMessage().type());
      Socket caller = platform.connectCaller();
      platform.resumeCall(caller, CALL_ID);
      assertTrue(platform.readSwitchLine().contains("\"msg\":\"close\",\"sid\":\"" + CALL_ID));
      other.close();
    }
  }
}
