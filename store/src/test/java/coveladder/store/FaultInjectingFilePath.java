package coveladder.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import org.h2.store.fs.FileBase;
import org.h2.store.fs.FilePathWrapper;

/** An MVStore file system that injects faults: writes to a full disk, or failing syncs. */
public final class FaultInjectingFilePath extends FilePathWrapper {
  /** {@code full}: writes fail, {@code sync}: syncs fail, empty: no fault. */
  static volatile String injectedFault = "";

  @Override
  public String getScheme() {
    return "faulty";
  }

  @Override
  public FileChannel open(String mode) throws IOException {
    FileChannel inner = super.open(mode);
    return new FileBase() {
      @Override
      public int read(ByteBuffer to, long from) throws IOException {
        return inner.read(to, from);
      }

      @Override
      public int write(ByteBuffer from, long to) throws IOException {
        if (injectedFault.equals("full")) {
          throw new IOException("No space left on device");
        }
        return inner.write(from, to);
      }

      @Override
      public int read(ByteBuffer to) throws IOException {
        return inner.read(to);
      }

      @Override
      public int write(ByteBuffer from) throws IOException {
        return inner.write(from);
      }

      @Override
      public long position() throws IOException {
        return inner.position();
      }

      @Override
      public FileChannel position(long at) throws IOException {
        inner.position(at);
        return this;
      }

      @Override
      public long size() throws IOException {
        return inner.size();
      }

      @Override
      public FileChannel truncate(long size) throws IOException {
        inner.truncate(size);
        return this;
      }

      @Override
      public void force(boolean includeMetadata) throws IOException {
        if (injectedFault.equals("sync")) {
          throw new IOException("Input/output error");
        }
        inner.force(includeMetadata);
      }

      @Override
      public FileLock tryLock(long from, long size, boolean shared) throws IOException {
        return inner.tryLock(from, size, shared);
      }

      @Override
      protected void implCloseChannel() throws IOException {
        inner.close();
      }
    };
  }
}
