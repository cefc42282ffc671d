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
 * The files of a state folder. {@code calls.mv} holds the calls; {@code in-step} is there as long
 * as no call goes on unkept, and is taken away when the disk fails, as that works on a full disk
 * too; {@code set-aside.txt} holds records that could not be read, {@code clock} the steady clock.
 */
final class StateFolder {
  private static final String CALLS_FILE = "calls.mv";
  private static final String NEW_CALLS_FILE = "calls.mv.new";
  private static final String IN_STEP_MARKER = "in-step";
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
   * Takes the folder for this process; null where another has it. The file of calls alone would not
   * do: it is let go of when it fails.
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
      // This process has it: the same refusal.
    }
    channel.close();
    return null;
  }

  Path callsFile() {
    return folder.resolve(CALLS_FILE);
  }

  /** Where a store that begins anew is written before it takes the place of the failed one. */
  Path newCallsFile() {
    return folder.resolve(NEW_CALLS_FILE);
  }

  Path clockFile() {
    return folder.resolve("clock");
  }

  boolean hasCallsFile() {
    return Files.exists(callsFile());
  }

  /** Whether calls may have gone on unkept since the file was written last. */
  boolean isBehind() {
    return hasCallsFile() && !Files.exists(folder.resolve(IN_STEP_MARKER));
  }

  void markInStep() throws IOException {
    if (!Files.exists(folder.resolve(IN_STEP_MARKER))) {
      Files.createFile(folder.resolve(IN_STEP_MARKER));
      syncDirectory(folder);
    }
  }

  void markBehind() throws IOException {
    Files.deleteIfExists(folder.resolve(IN_STEP_MARKER));
    syncDirectory(folder);
  }

  /** A name in a folder is safe once the folder itself was synced. */
  private static void syncDirectory(Path directory) throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** The store that began anew takes the place of the failed one. */
  void installNewCallsFile() throws IOException {
    Files.move(newCallsFile(), callsFile(), StandardCopyOption.ATOMIC_MOVE);
    syncDirectory(folder);
  }

  /** Puts a file aside that cannot be opened; its new place. */
  Path quarantineCallsFile() throws IOException {
    long modifiedMillis = Files.getLastModifiedTime(callsFile()).toMillis();
    Path quarantined = folder.resolve(CALLS_FILE + ".damaged-" + modifiedMillis);
    Files.move(callsFile(), quarantined, StandardCopyOption.REPLACE_EXISTING);
    return quarantined;
  }

  /** Writes a record that cannot be used to the file for those, up to a bound. */
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
