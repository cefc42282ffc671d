package coveladder.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.function.LongSupplier;

/**
 * A clock that goes on across restarts of the process and is not moved when the wall clock is set:
 * the machine's own count of time, which lasts until it boots again, with the difference to the
 * wall clock as it was at first. After a boot the wall clock is asked anew.
 */
public final class PersistentMonotonicClock implements LongSupplier {
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
  private static final double NANOS_PER_MILLI = 1e6;

  private final LongSupplier monotonicNanos;
  private final long offsetMillis;

  private PersistentMonotonicClock(LongSupplier monotonicNanos, long offsetMillis) {
    this.monotonicNanos = monotonicNanos;
    this.offsetMillis = offsetMillis;
  }

  /** The clock of a state folder, which must exist. */
  public static PersistentMonotonicClock open(Path folder) throws IOException {
    String bootId = Files.exists(BOOT_ID_FILE) ? Files.readString(BOOT_ID_FILE).trim() : "";
    return open(
        new StateFolder(folder).clockFile(), bootId, System::nanoTime, System.currentTimeMillis());
  }

  /**
   * The clock of a file.
   *
   * @param bootId names the time since the machine booted; empty: unknown, the wall clock counts
   * @param monotonicNanos the machine's count of time, ns
   * @param wallMillis the wall clock, ms since 1970
   */
  static PersistentMonotonicClock open(
      Path file, String bootId, LongSupplier monotonicNanos, long wallMillis) throws IOException {
    long monotonicMillis = Math.round(monotonicNanos.getAsLong() / NANOS_PER_MILLI);
    String[] stored = readStored(file).split(" ");
    if (!bootId.isEmpty() && stored.length == 2 && stored[0].equals(bootId)) {
      return new PersistentMonotonicClock(monotonicNanos, Long.parseLong(stored[1]));
    }
    Files.writeString(file, bootId + ' ' + (wallMillis - monotonicMillis), StandardCharsets.UTF_8);
    return new PersistentMonotonicClock(monotonicNanos, wallMillis - monotonicMillis);
  }

  /** The file's text; empty where there is none, or none that this program wrote. */
  private static String readStored(Path file) throws IOException {
    try {
      String text = Files.readString(file, StandardCharsets.UTF_8);
      return text.matches("[0-9a-f-]+ -?[0-9]{1,18}") ? text : "";
    } catch (NoSuchFileException e) {
      return "";
    }
  }

  @Override
  public long getAsLong() {
    return Math.round(monotonicNanos.getAsLong() / NANOS_PER_MILLI) + offsetMillis;
  }
}
