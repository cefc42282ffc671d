package coveladder.bench;

import coveladder.CallPolicy.Call;
import coveladder.core.recovery.RecoveryRate;
import coveladder.core.recovery.SavedCall;
import coveladder.net.EventLoop;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sip.Hop;
import coveladder.sip.Transport;
import coveladder.sipfront.SipFront;
import coveladder.store.DiskStore;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A start with so many standing calls: time until the store is read and until the controller takes
 * calls, octets a call on disk, and how much is written for that. Argument: calls.
 */
public final class RestartBench {
  private static final int GROUP = 2_000;
  private static final String TOKEN = "000000000000";

  private RestartBench() {}

  /** Runs one measurement and prints it. */
  public static void main(String[] arguments) throws Exception {
    int count = Integer.parseInt(arguments[0]);
    Path folder = Files.createTempDirectory("restart-bench");
    try {
      fill(folder, count);
      for (int i = 0; i < 3; i++) {
        start(folder);
      }
    } finally {
      delete(folder);
    }
  }

  private static void delete(Path folder) throws Exception {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  /** Calls that differ in their names only, with legs as the front writes them. */
  private static void fill(Path folder, int count) throws Exception {
    SavedCall like = StandingCall.make(TOKEN);
    long payload = (long) count * (like.callerLeg().length + like.attemptLeg().length);
    long written = written();
    long begun = System.nanoTime();
    try (DiskStore store = new DiskStore(folder, Runnable::run)) {
      for (int i = 0; i < count; i++) {
        store.put(named(like, String.format(Locale.ROOT, "%012x", i + 1)));
        if (i % GROUP == GROUP - 1) {
          sync(store);
        }
      }
      sync(store);
    }
    long size = Files.size(folder.resolve("calls.mv"));
    System.out.printf(
        Locale.ROOT,
        "%d calls kept in %.1f s: %.0f octets a call in the file, legs %.0f; written %.2f times%n",
        count,
        (System.nanoTime() - begun) / 1e9,
        (double) size / count,
        (double) payload / count,
        (double) (written() - written) / payload);
  }

  private static void sync(DiskStore store) throws Exception {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    store.sync(done::complete);
    if (!done.get(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the disk failed: " + store.failureReason());
    }
  }

  private static SavedCall named(SavedCall like, String token) {
    Call call = like.call();
    Call named =
        new Call(
            token,
            call.type(),
            call.patience(),
            call.width(),
            call.number(),
            call.destination(),
            call.transit(),
            call.redial(),
            call.returned());
    return new SavedCall(
        named,
        like.phase(),
        like.attempt(),
        like.exchange(),
        named(like.callerLeg(), token),
        named(like.attemptLeg(), token),
        like.answer(),
        like.deadline());
  }

  private static byte[] named(byte[] leg, String token) {
    return new String(leg, StandardCharsets.ISO_8859_1)
        .replace(TOKEN, token)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Octets that this process has written to disk so far. */
  private static long written() throws Exception {
    for (String line : Files.readAllLines(Path.of("/proc/self/io"))) {
      if (line.startsWith("wchar: ")) {
        return Long.parseLong(line.substring(7));
      }
    }
    return 0;
  }

  private static void start(Path folder) throws Exception {
    long begun = System.nanoTime();
    try (Sockets sockets = new Sockets(1);
        EventLoop loop = new EventLoop("controller", begun, 1_000_000)) {
      DiskStore store = new DiskStore(folder, loop::execute);
      double read = (System.nanoTime() - begun) / 1e6;
      SocketNode node = WholePath.Run.node(sockets, loop);
      Hop nowhere = new Hop(Transport.UDP, "127.0.0.1", 9);
      SipFront front =
          WholePath.Run.front(node, nowhere, store, new RecoveryRate.Budget(1, 3_600_000));
      loop.start();
      node.start(front);
      CompletableFuture<Double> taken = new CompletableFuture<>();
      loop.execute(() -> taken.complete((System.nanoTime() - begun) / 1e6));
      double ready = taken.get(120, TimeUnit.SECONDS);
      System.out.printf(
          Locale.ROOT,
          "  store read after %.0f ms, %d calls held and new ones taken after %.0f ms%n",
          read,
          front.controller().callCount(),
          ready);
      store.close();
      node.close();
    }
  }
}
