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
 * A state folder as staff look at it. Reading takes a copy of the file, so that a running
 * controller is not disturbed; compacting needs the folder to be free.
 */
public final class StateFolderAdmin {
  private static final int COPIES = 5;

  private StateFolderAdmin() {}

  /**
   * What is in a folder.
   *
   * @param calls calls that could be read
   * @param damagedRecords records that could not, with their reasons
   * @param behind whether calls go or went on unkept
   * @param sizeBytes size of the file
   */
  public record Contents(
      List<SavedCall> calls, List<String> damagedRecords, boolean behind, long sizeBytes) {}

  /** Reads a folder, in use or not. */
  public static Contents read(Path path) throws IOException, DiskStore.UnusableFolderException {
    StateFolder folder = new StateFolder(path);
    if (!folder.exists()) {
      throw new NoSuchFileException(folder.file().toString());
    }
    Path copy = Files.createTempFile("coveladder-state", ".mv");
    try {
      return read(folder, copy);
    } finally {
      Files.deleteIfExists(copy);
    }
  }

  /** A file that is written while it is copied may come out broken: then it is copied again. */
  private static Contents read(StateFolder folder, Path copy)
      throws IOException, DiskStore.UnusableFolderException {
    MVStoreException last = null;
    for (int i = 0; i < COPIES; i++) {
      Files.copy(folder.file(), copy, StandardCopyOption.REPLACE_EXISTING);
      try (CallFile file = CallFile.openToRead(copy.toString())) {
        List<String> damaged = new ArrayList<>();
        List<SavedCall> calls =
            file.readAll((id, why) -> damaged.add("record of call " + id + ": " + why));
        return new Contents(calls, damaged, folder.behind(), Files.size(copy));
      } catch (MVStoreException e) {
        last = e;
      }
    }
    throw new DiskStore.UnusableFolderException(
        folder.file() + " cannot be read: " + last.getMessage());
  }

  /** Makes the file as small as can be; its sizes before and after, octets. */
  public static long[] compact(Path path) throws IOException, DiskStore.UnusableFolderException {
    StateFolder folder = new StateFolder(path);
    if (!folder.exists()) {
      throw new NoSuchFileException(folder.file().toString());
    }
    long before = Files.size(folder.file());
    try (FileChannel lock = lock(folder);
        CallFile file = CallFile.open(folder.file().toString());
        CallFile small = CallFile.openFresh(folder)) {
      file.copyTo(small);
      folder.takeFresh();
    } catch (MVStoreException e) {
      throw new DiskStore.UnusableFolderException(
          folder.file() + " cannot be read: " + e.getMessage());
    }
    return new long[] {before, Files.size(folder.file())};
  }

  private static FileChannel lock(StateFolder folder)
      throws IOException, DiskStore.UnusableFolderException {
    FileChannel lock = folder.lock();
    if (lock == null) {
      throw new DiskStore.UnusableFolderException(
          folder.path() + " is in use by another process; compact it when that one has ended");
    }
    return lock;
  }
}
