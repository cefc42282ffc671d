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
  private static final String FILE = "calls.mv";
  private static final String FRESH = "calls.mv.new";
  private static final String IN_STEP = "in-step";
  private static final String SET_ASIDE = "set-aside.txt";
  private static final long SET_ASIDE_MOST = 64L << 20;

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
  FileChannel lock() throws IOException {
    if (!Files.isDirectory(folder)) {
      Files.createDirectories(folder);
      Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
    }
    Path file = folder.resolve("lock");
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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

  Path file() {
    return folder.resolve(FILE);
  }

  /** Where a store that begins anew is written before it takes the place of the failed one. */
  Path fresh() {
    return folder.resolve(FRESH);
  }

  Path clock() {
    return folder.resolve("clock");
  }

  boolean exists() {
    return Files.exists(file());
  }

  /** Whether calls may have gone on unkept since the file was written last. */
  boolean behind() {
    return exists() && !Files.exists(folder.resolve(IN_STEP));
  }

  void markInStep() throws IOException {
    if (!Files.exists(folder.resolve(IN_STEP))) {
      Files.createFile(folder.resolve(IN_STEP));
      force(folder);
    }
  }

  void markBehind() throws IOException {
    Files.deleteIfExists(folder.resolve(IN_STEP));
    force(folder);
  }

  /** A name in a folder is safe once the folder itself was synced. */
  private static void force(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** The store that began anew takes the place of the failed one. */
  void takeFresh() throws IOException {
    Files.move(fresh(), file(), StandardCopyOption.ATOMIC_MOVE);
    force(folder);
  }

  /** Puts a file aside that cannot be opened; its new place. */
  Path putAside() throws IOException {
    long changed = Files.getLastModifiedTime(file()).toMillis();
    Path aside = folder.resolve(FILE + ".damaged-" + changed);
    Files.move(file(), aside, StandardCopyOption.REPLACE_EXISTING);
    return aside;
  }

  /** Writes a record that cannot be used to the file for those, up to a bound. */
  void setAside(String reason, byte[] record) throws IOException {
    Path file = folder.resolve(SET_ASIDE);
    if (!Files.exists(file) || Files.size(file) < SET_ASIDE_MOST) {
      Files.writeString(
          file,
          reason + ": " + Base64.getEncoder().encodeToString(record) + '\n',
          StandardCharsets.UTF_8,
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    }
  }
}
