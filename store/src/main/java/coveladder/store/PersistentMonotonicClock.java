package coveladder.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.function.LongSupplier;

/**
 * A clock in milliseconds that continues across restarts of the process and is unaffected when the
 * wall clock is set. It is the machine's monotonic clock, which runs until the next boot, plus its
 * offset from the wall clock. The offset is determined at the first start after each boot and
 * stored in a file.
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

  /** Opens the clock of a state folder, which must exist. */
  public static PersistentMonotonicClock open(Path folder) throws IOException {
    String bootId = Files.exists(BOOT_ID_FILE) ? Files.readString(BOOT_ID_FILE).trim() : "";
    return open(
        new StateFolder(folder).clockFile(), bootId, System::nanoTime, System.currentTimeMillis());
  }

  /**
   * Opens the clock whose offset is stored in a file.
   *
   * @param bootId id of the current boot of the machine; empty: unknown, so the stored offset is
   *     not used
   * @param monotonicNanos the machine's monotonic clock, ns
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

  /** Returns the text of the file; empty if it is missing or not in the clock's format. */
  private static String readStored(Path file) throws IOException {
    try {
      String text = Files.readString(file, StandardCharsets.UTF_8);
      return text.matches("[0-9a-f-]+ -?[0-9]{1,18}") ? text : "";
    } catch (NoSuchFileException e) {
      return "";
    }
  }

  /** Returns the time of this clock, ms since 1970. */
  @Override
  public long getAsLong() {
    return Math.round(monotonicNanos.getAsLong() / NANOS_PER_MILLI) + offsetMillis;
  }
}
