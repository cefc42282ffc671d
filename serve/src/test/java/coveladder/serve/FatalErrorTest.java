package coveladder.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import coveladder.net.FatalErrorHandler;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests in processes of their own that an error in a thread ends the process. */
@Timeout(60)
class FatalErrorTest {
  private static Process start(String failure) throws IOException {
    String classPath = System.getProperty("java.class.path");
    List<String> options =
        List.of("-Xmx24m", "-cp", classPath, FailingProcess.class.getName(), failure);
    return new ProcessBuilder(LoopbackPlatform.command(options)).start();
  }

  /** After an OutOfMemoryError the process stayed alive, listened and never answered again. */
  @ParameterizedTest
  @CsvSource({"loop, controller met an error", "selector, StackOverflowError"})
  void anErrorEndsTheProcessWithAStatusAndALogLine(String failure, String logged) throws Exception {
    Process process = start(failure);
    try (InputStream log = process.getErrorStream()) {
      String text = new String(log.readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
      assertEquals(FatalErrorHandler.EXIT_STATUS, process.exitValue(), text);
      assertTrue(text.contains("the process ends with status 70"), text);
      assertTrue(text.contains(logged), text);
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void theProcessEndsEvenIfNobodyReadsItsLog() throws Exception {
    Process process = start("unread log");
    try {
      assertTrue(process.waitFor(30, TimeUnit.SECONDS));
      assertEquals(FatalErrorHandler.EXIT_STATUS, process.exitValue());
    } finally {
      process.destroyForcibly();
    }
  }
}
