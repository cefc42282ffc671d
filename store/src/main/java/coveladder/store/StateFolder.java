package coveladder.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Base64;

/**
 * The files of a state folder:
 *
 * <ul>
 *   <li>{@code calls.mv} holds the calls.
 *   <li>{@code in-step} is a marker that exists while the call file is up to date. It is deleted
 *       when the disk fails, since a deletion works on a full disk too. Without it the folder is
 *       out of date, or "behind" in messages: some calls continued without being stored.
 *   <li>{@code set-aside.txt} is the quarantine for records that could not be read.
 *   <li>{@code clock} belongs to {@link PersistentMonotonicClock}.
 *   <li>{@code lock} is the lock file.
 * </ul>
 */
final class StateFolder {
  private static final String CALL_FILE = "calls.mv";
  private static final String NEW_CALL_FILE = "calls.mv.new";
  private static final String UP_TO_DATE_MARKER = "in-step";
  private static final String QUARANTINE_FILE = "set-aside.txt";
  private static final long MAX_QUARANTINE_BYTES = 64L << 20;

  private final Path folder;

  StateFolder(Path folder) {
    this.folder = folder;
  }

  Path path() {
    return folder;
  }

  /**
   * Locks the folder for this process, creating the folder if it does not exist; null if the lock
   * is already held. A lock on the call file would not be enough, since that file is closed when
   * the disk fails.
   */
  FileChannel tryLock() throws IOException {
    if (!Files.isDirectory(folder)) {
      Files.createDirectories(folder);
      Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
    }
    Path lockFile = folder.resolve("lock");
    FileChannel channel =
        FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      if (channel.tryLock() != null) {
        return channel;
      }
    } catch (OverlappingFileLockException e) {
      // This process already holds the lock: handled as if another process did.
    }
    channel.close();
    return null;
  }

  Path callFile() {
    return folder.resolve(CALL_FILE);
  }

  /** Returns the path of a replacement file while it is written. */
  Path newCallFile() {
    return folder.resolve(NEW_CALL_FILE);
  }

  Path clockFile() {
    return folder.resolve("clock");
  }

  boolean hasCallFile() {
    return Files.exists(callFile());
  }

  /** Returns whether calls may have continued without being stored since the last write. */
  boolean isOutOfDate() {
    return hasCallFile() && !Files.exists(folder.resolve(UP_TO_DATE_MARKER));
  }

  void markUpToDate() throws IOException {
    if (!Files.exists(folder.resolve(UP_TO_DATE_MARKER))) {
      Files.createFile(folder.resolve(UP_TO_DATE_MARKER));
      syncDirectory(folder);
    }
  }

  void markOutOfDate() throws IOException {
    Files.deleteIfExists(folder.resolve(UP_TO_DATE_MARKER));
    syncDirectory(folder);
  }

  /** Syncs a directory; only then does a created, renamed or deleted entry survive a crash. */
  private static void syncDirectory(Path directory) throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** Replaces the call file with the new one, atomically. */
  void installNewCallFile() throws IOException {
    Files.move(newCallFile(), callFile(), StandardCopyOption.ATOMIC_MOVE);
    syncDirectory(folder);
  }

  /** Renames a call file that cannot be opened; returns its new path. */
  Path quarantineCallFile() throws IOException {
    long modifiedMillis = Files.getLastModifiedTime(callFile()).toMillis();
    Path quarantined = folder.resolve(CALL_FILE + ".damaged-" + modifiedMillis);
    Files.move(callFile(), quarantined, StandardCopyOption.REPLACE_EXISTING);
    return quarantined;
  }

  /** Appends an unreadable record to the quarantine file, unless that has reached its limit. */
  void quarantineRecord(String reason, byte[] record) throws IOException {
    Path quarantineFile = folder.resolve(QUARANTINE_FILE);
    if (!Files.exists(quarantineFile) || Files.size(quarantineFile) < MAX_QUARANTINE_BYTES) {
      Files.writeString(
          quarantineFile,
          reason + ": " + Base64.getEncoder().encodeToString(record) + '\n',
          StandardCharsets.UTF_8,
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    }
  }
}
