package review;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A client on one connection: sends set-ups, reads whatever is sent to it. */
final class Caller implements AutoCloseable {
  private static final AtomicLong NEXT = new AtomicLong(System.nanoTime() << 16);

  /** What became of a set-up. */
  static final class Call {
    final String id;
    final long sentAt = System.currentTimeMillis();
    final long leftMillis;
    volatile long answeredAt;
    volatile long releasedAt;

    /** Cause of the release after the answer: 16, or 41 if the call was cut. */
    volatile int releaseCause;

    volatile long lostAt;

    /** 9: stands; 1000 + cause: refused or failed; 0: no answer. */
    volatile int answer;

    volatile int answers;

    Call(String id, long leftMillis) {
      this.id = id;
      this.leftMillis = leftMillis;
    }

    boolean stands() {
      return answer == 9;
    }
  }

  final String name;
  private final Record record;
  private final Socket socket = new Socket();

  /** All calls of this client, by id; shared by the connections of one client. */
  final Map<String, Call> calls;

  /** Calls that were set up on this connection. */
  private final Map<String, Call> own = new ConcurrentHashMap<>();

  private final CountDownLatch tested = new CountDownLatch(1);
  private volatile int testResult = -1;
  volatile boolean ended;

  Caller(Record record, String name, int port) throws IOException {
    this(record, name, port, new ConcurrentHashMap<>());
  }

  Caller(Record record, String name, int port, Map<String, Call> calls) throws IOException {
    this.record = record;
    this.name = name;
    this.calls = calls;
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(Controller.HOST, port), 1000);
    Journal.daemon(this::read);
  }

  static String newId() {
    return String.format("%016x", NEXT.incrementAndGet() * 0x9E3779B97F4A7C15L);
  }

  /** Waits until a controller passes a test; returns false if it does not within the time. */
  static boolean awaitReady(Record record, int port, long millis) throws InterruptedException {
    long until = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < until) {
      try (Caller caller = new Caller(record, "front", port)) {
        if (caller.test()) {
          record.line("front", "the controller passed its test");
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(100);
    }
    return false;
  }

  boolean test() throws IOException, InterruptedException {
    send(message(52, newId(), new int[] {30}, new byte[][] {{0}}));
    tested.await(1, TimeUnit.SECONDS);
    return testResult == 1;
  }

  static byte[] message(int type, String id, int[] codes, byte[][] values) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.write(type);
    body.writeBytes(HexFormat.of().parseHex(id));
    for (int i = 0; i < codes.length; i++) {
      body.write(codes[i]);
      body.write(values[i].length >> 8);
      body.write(values[i].length);
      body.writeBytes(values[i]);
    }
    byte[] message = new byte[body.size() + 2];
    message[0] = (byte) (body.size() >> 8);
    message[1] = (byte) body.size();
    System.arraycopy(body.toByteArray(), 0, message, 2, body.size());
    return message;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static byte[] setUp(
      String id, String callClass, long left, String number, String figures, String description) {
    return message(
        1,
        id,
        new int[] {16, 17, 20, 21, 31},
        new byte[][] {
          bytes(callClass), bytes(Long.toString(left)), bytes(number), bytes(figures),
          bytes(description)
        });
  }

  void send(byte[] octets) throws IOException {
    synchronized (socket) {
      socket.getOutputStream().write(octets);
    }
  }

  /** Sends a set-up and returns its call. */
  Call call(String callClass, int width, long left, int destination) throws IOException {
    String id = newId();
    Call call = new Call(id, left);
    calls.put(id, call);
    own.put(id, call);
    record.line(name, "written: set-up " + id + " " + callClass + " dest " + destination
        + " left " + left);
    send(setUp(id, callClass, left, String.format("%016x", id.hashCode()),
        "dest:" + destination + ";width:" + width + ";via:-1",
        id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"));
    return call;
  }

  /** Gives a set-up up, or releases a call that stands. */
  void release(String id) throws IOException {
    record.line(name, "written: release " + id);
    send(message(12, id, new int[] {30}, new byte[][] {{16}}));
  }

  private void read() {
    try {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        byte[] body = in.readNBytes(in.readUnsignedShort());
        onMessage(body);
      }
    } catch (IOException | RuntimeException e) {
      ended = true;
      long now = System.currentTimeMillis();
      own.values().forEach(call -> call.lostAt = call.answer == 0 ? now : 0);
    }
  }

  private void onMessage(byte[] body) throws IOException {
    int type = body[0] & 0xff;
    String id = HexFormat.of().formatHex(body, 1, 9);
    int cause = type == 12 || type == 53 ? body[12] & 0xff : 0;
    if (type == 53) {
      testResult = cause;
      tested.countDown();
      return;
    }
    Call call = calls.get(id);
    if (type != 9 && type != 12) {
      return;
    }
    record.line(name, "read: " + (type == 9 ? "answer " : "release " + cause + " ") + id
        + (call == null ? ", not of this client" : ""));
    if (call == null) {
      return;
    }
    long now = System.currentTimeMillis();
    if (type == 12) {
      send(message(16, id, new int[0], new byte[0][]));
    }
    if (type == 12 && call.stands()) {
      call.releaseCause = call.releasedAt == 0 ? cause : call.releaseCause;
      call.releasedAt = call.releasedAt == 0 ? now : call.releasedAt;
    } else {
      call.answers++;
      call.answeredAt = now;
      call.answer = type == 9 ? 9 : 1000 + cause;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
