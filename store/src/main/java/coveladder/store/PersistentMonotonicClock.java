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
  private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");
  private static final double NANOS = 1e6;

  private final LongSupplier nanos;
  private final long difference;

  private PersistentMonotonicClock(LongSupplier nanos, long difference) {
    this.nanos = nanos;
    this.difference = difference;
  }

  /** The clock of a state folder, which must exist. */
  public static PersistentMonotonicClock open(Path folder) throws IOException {
    String boot = Files.exists(BOOT) ? Files.readString(BOOT).trim() : "";
    return open(
        new StateFolder(folder).clock(), boot, System::nanoTime, System.currentTimeMillis());
  }

  /**
   * The clock of a file.
   *
   * @param boot names the time since the machine booted; empty: unknown, the wall clock counts
   * @param nanos the machine's count of time, ns
   * @param wall the wall clock, ms since 1970
   */
  static PersistentMonotonicClock open(Path file, String boot, LongSupplier nanos, long wall)
      throws IOException {
    long now = Math.round(nanos.getAsLong() / NANOS);
    String[] kept = read(file).split(" ");
    if (!boot.isEmpty() && kept.length == 2 && kept[0].equals(boot)) {
      return new PersistentMonotonicClock(nanos, Long.parseLong(kept[1]));
    }
    Files.writeString(file, boot + ' ' + (wall - now), StandardCharsets.UTF_8);
    return new PersistentMonotonicClock(nanos, wall - now);
  }

  /** The file's text; empty where there is none, or none that this program wrote. */
  private static String read(Path file) throws IOException {
    try {
      String text = Files.readString(file, StandardCharsets.UTF_8);
      return text.matches("[0-9a-f-]+ -?[0-9]{1,18}") ? text : "";
    } catch (NoSuchFileException e) {
      return "";
    }
  }

  @Override
  public long getAsLong() {
    return Math.round(nanos.getAsLong() / NANOS) + difference;
  }
}
