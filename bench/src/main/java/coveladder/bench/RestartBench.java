package coveladder.bench;

import coveladder.CallPolicy.Call;
import coveladder.core.recovery.RecoveryRate;
import coveladder.core.recovery.SavedCall;
import coveladder.net.EventLoop;
import coveladder.net.SocketNode;
import coveladder.net.Sockets;
import coveladder.sip.Hop;
import coveladder.sip.Transport;
import coveladder.sipfront.SipFrontEnd;
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
 * Measures the start of a controller whose store holds a given number of established calls: the
 * time until the store is read and until the controller accepts calls, the octets per call on disk,
 * and how many octets are written to store them. Argument: number of calls.
 */
public final class RestartBench {
  private static final int CALLS_PER_SYNC = 2_000;

  /** The token in the template's identifiers, replaced by a different one in each stored call. */
  private static final String TEMPLATE_TOKEN = "000000000000";

  private RestartBench() {}

  /** Fills a store, then measures and prints three starts from it. */
  public static void main(String[] arguments) throws Exception {
    int callCount = Integer.parseInt(arguments[0]);
    Path folder = Files.createTempDirectory("restart-bench");
    try {
      fillStore(folder, callCount);
      for (int i = 0; i < 3; i++) {
        measureStart(folder);
      }
    } finally {
      deleteRecursively(folder);
    }
  }

  private static void deleteRecursively(Path folder) throws Exception {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  /**
   * Stores calls that differ only in their identifiers, with legs as the front end encodes them,
   * and prints how much was written.
   */
  private static void fillStore(Path folder, int callCount) throws Exception {
    SavedCall template = SavedCallRecorder.recordCall(TEMPLATE_TOKEN);
    long legBytes = (long) callCount * (template.callerLeg().length + template.attemptLeg().length);
    long writtenBytesBefore = writtenBytes();
    long startNanos = System.nanoTime();
    try (DiskStore store = new DiskStore(folder, Runnable::run)) {
      for (int i = 0; i < callCount; i++) {
        store.put(withToken(template, String.format(Locale.ROOT, "%012x", i + 1)));
        if (i % CALLS_PER_SYNC == CALLS_PER_SYNC - 1) {
          sync(store);
        }
      }
      sync(store);
    }
    long fileBytes = Files.size(folder.resolve("calls.mv"));
    System.out.printf(
        Locale.ROOT,
        "%d calls kept in %.1f s: %.0f octets a call in the file, legs %.0f; written %.2f times%n",
        callCount,
        (System.nanoTime() - startNanos) / 1e9,
        (double) fileBytes / callCount,
        (double) legBytes / callCount,
        (double) (writtenBytes() - writtenBytesBefore) / legBytes);
  }

  private static void sync(DiskStore store) throws Exception {
    CompletableFuture<Boolean> synced = new CompletableFuture<>();
    store.sync(synced::complete);
    if (!synced.get(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the disk failed: " + store.failureReason());
    }
  }

  /** A copy of the template whose identifiers contain this token. */
  private static SavedCall withToken(SavedCall template, String token) {
    Call templateCall = template.call();
    Call call =
        new Call(
            token,
            templateCall.type(),
            templateCall.patience(),
            templateCall.width(),
            templateCall.number(),
            templateCall.destination(),
            templateCall.transit(),
            templateCall.redial(),
            templateCall.returned());
    return new SavedCall(
        call,
        template.phase(),
        template.attempt(),
        template.exchange(),
        withToken(template.callerLeg(), token),
        withToken(template.attemptLeg(), token),
        template.answer(),
        template.deadline());
  }

  private static byte[] withToken(byte[] leg, String token) {
    return new String(leg, StandardCharsets.ISO_8859_1)
        .replace(TEMPLATE_TOKEN, token)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Octets that this process has passed to write calls so far; 0 if unknown. */
  private static long writtenBytes() throws Exception {
    for (String line : Files.readAllLines(Path.of("/proc/self/io"))) {
      if (line.startsWith("wchar: ")) {
        return Long.parseLong(line.substring(7));
      }
    }
    return 0;
  }

  /** Starts a controller on the stored calls and prints how long that took. */
  private static void measureStart(Path folder) throws Exception {
    long startNanos = System.nanoTime();
    try (Sockets sockets = new Sockets(/* selectorThreads= */ 1);
        EventLoop loop = new EventLoop("controller", startNanos, /* queueCapacity= */ 1_000_000)) {
      DiskStore store = new DiskStore(folder, loop::execute);
      double storeReadMillis = (System.nanoTime() - startNanos) / 1e6;
      SocketNode node = WholePath.Run.newNode(sockets, loop);
      Hop unusedSwitchAddress = new Hop(Transport.UDP, "127.0.0.1", 9);
      SipFrontEnd frontEnd =
          WholePath.Run.persistentFrontEnd(
              node,
              unusedSwitchAddress,
              store,
              new RecoveryRate.Budget(/* callsPerSecond= */ 1, /* verifyDelayMillis= */ 3_600_000));
      loop.start();
      node.start(frontEnd);
      // The task runs after the start of the front end, when new calls are accepted.
      CompletableFuture<Double> firstTaskMillis = new CompletableFuture<>();
      loop.execute(() -> firstTaskMillis.complete((System.nanoTime() - startNanos) / 1e6));
      double readyMillis = firstTaskMillis.get(120, TimeUnit.SECONDS);
      System.out.printf(
          Locale.ROOT,
          "  store read after %.0f ms, %d calls held and new ones taken after %.0f ms%n",
          storeReadMillis,
          frontEnd.controller().callCount(),
          readyMillis);
      store.close();
      node.close();
    }
  }
}
