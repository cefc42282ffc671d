package coveladder.store;

import coveladder.core.recovery.SavedCall;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import org.h2.mvstore.MVStoreException;

/**
 * Operations on a state folder for administrators. Reading works on a copy of the file, so that a
 * running controller is not disturbed; compaction needs a folder that no process has locked.
 */
public final class StateFolderAdmin {
  private static final int MAX_COPY_ATTEMPTS = 5;

  private StateFolderAdmin() {}

  /**
   * The contents of a state folder.
   *
   * @param calls the calls that could be read
   * @param damagedRecords the records that could not be read, each as its call id and the reason
   * @param outOfDate whether the folder is out of date: calls continue, or continued, without being
   *     stored
   * @param sizeBytes size of the call file
   */
  public record Contents(
      List<SavedCall> calls, List<String> damagedRecords, boolean outOfDate, long sizeBytes) {}

  /** Reads a folder, whether or not it is in use. */
  public static Contents read(Path path) throws IOException, DiskStore.UnusableFolderException {
    StateFolder folder = new StateFolder(path);
    if (!folder.hasCallFile()) {
      throw new NoSuchFileException(folder.callFile().toString());
    }
    Path copy = Files.createTempFile("coveladder-state", ".mv");
    try {
      return read(folder, copy);
    } finally {
      Files.deleteIfExists(copy);
    }
  }

  /**
   * Copies the call file and reads the copy. A copy taken during a write may be corrupt; it is then
   * taken again.
   */
  private static Contents read(StateFolder folder, Path copy)
      throws IOException, DiskStore.UnusableFolderException {
    MVStoreException lastFailure = null;
    for (int attempt = 0; attempt < MAX_COPY_ATTEMPTS; attempt++) {
      Files.copy(folder.callFile(), copy, StandardCopyOption.REPLACE_EXISTING);
      try (CallFile file = CallFile.openReadOnly(copy.toString())) {
        List<String> damaged = new ArrayList<>();
        List<SavedCall> calls =
            file.readAll((id, reason) -> damaged.add("record of call " + id + ": " + reason));
        return new Contents(calls, damaged, folder.isOutOfDate(), Files.size(copy));
      } catch (MVStoreException e) {
        lastFailure = e;
      }
    }
    throw new DiskStore.UnusableFolderException(
        folder.callFile() + " cannot be read: " + lastFailure.getMessage());
  }

  /** Compacts the call file; returns its sizes before and after, in bytes. */
  public static long[] compact(Path path) throws IOException, DiskStore.UnusableFolderException {
    StateFolder folder = new StateFolder(path);
    if (!folder.hasCallFile()) {
      throw new NoSuchFileException(folder.callFile().toString());
    }
    long sizeBeforeBytes = Files.size(folder.callFile());
    try (FileChannel lock = lock(folder);
        CallFile file = CallFile.open(folder.callFile().toString());
        CallFile compacted = CallFile.openNew(folder)) {
      file.copyTo(compacted);
      folder.installNewCallFile();
    } catch (MVStoreException e) {
      throw new DiskStore.UnusableFolderException(
          folder.callFile() + " cannot be read: " + e.getMessage());
    }
    return new long[] {sizeBeforeBytes, Files.size(folder.callFile())};
  }

  private static FileChannel lock(StateFolder folder)
      throws IOException, DiskStore.UnusableFolderException {
    FileChannel lock = folder.tryLock();
    if (lock == null) {
      throw new DiskStore.UnusableFolderException(
          folder.path() + " is in use by another process; compact it when that one has ended");
    }
    return lock;
  }
}
