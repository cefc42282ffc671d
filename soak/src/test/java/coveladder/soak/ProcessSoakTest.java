package coveladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short soak runs of real processes; the long run is started by hand, docs/operations.md. */
class ProcessSoakTest {
  private static final double DURATION_MILLIS = 6_000;

  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(longs = {2, 3, 4})
  void noRuleIsBrokenUnderTheFaultsOfASeed(long seed) throws Exception {
    assertEquals(List.of(), SoakCommand.play(seed, DURATION_MILLIS, RunLine.ROOT, folder));
  }
}
