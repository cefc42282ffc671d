package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** The journal service: numbered events, `tail N`, and the last number each second. */
final class Journal implements AutoCloseable {
  private final Record record;
  private final List<String> events = new ArrayList<>();
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private ServerSocket server;
  private int port;

  /** Time by which every line is written late, ms: the service is slow. */
  volatile long delayMillis;

  Journal(Record record) throws IOException {
    this.record = record;
    listen();
  }

  private void listen() throws IOException {
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(Controller.HOST), port), 50);
    port = server.getLocalPort();
    ServerSocket accepting = server;
    daemon(() -> accept(accepting));
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return port;
  }

  static String instance(String id, int number, int port, String state, long startedAt) {
    return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + Controller.HOST + ":" + port
        + "\",\"zone\":\"port-louis\",\"machineType\":\"single-core\",\"cell\":" + number
        + ",\"lifecycle\":\"" + state + "\",\"weight\":1,\"startedAtMs\":" + startedAt + "}";
  }

  /** Adds an event; the first one holds the whole list. From now on it counts as told. */
  synchronized void add(String... instances) {
    int position = events.size() + 1;
    String event =
        "{\"pos\":" + position + ",\"hosts\":{\"generation\":" + position + ",\"reset\":"
            + (position == 1) + ",\"instances\":[" + String.join(",", instances) + "]}}";
    events.add(event);
    record.line("journal", "event " + event);
    notifyAll();
  }

  synchronized String known() {
    return "{\"pos\":" + events.size() + ",\"entries\":[" + String.join(",", events) + "]}";
  }

  private void accept(ServerSocket accepting) {
    try {
      while (true) {
        Socket socket = accepting.accept();
        open.add(socket);
        daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void serve(Socket socket) {
    try {
      socket.setTcpNoDelay(true);
      String request =
          new BufferedReader(
                  new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
              .readLine();
      if (request == null || !request.startsWith("tail ")) {
        socket.close();
        return;
      }
      record.line("journal", "read: " + request);
      int sent = Integer.parseInt(request.substring(5).trim());
      LinkedBlockingQueue<Line> queue = new LinkedBlockingQueue<>();
      daemon(() -> write(socket, queue));
      long nextTick = System.currentTimeMillis();
      while (!socket.isClosed()) {
        synchronized (this) {
          long wait = nextTick - System.currentTimeMillis();
          if (sent >= events.size() && wait > 0) {
            wait(wait);
          }
          while (sent < events.size()) {
            queue.add(new Line(events.get(sent++), System.currentTimeMillis() + delayMillis));
          }
        }
        if (System.currentTimeMillis() >= nextTick) {
          queue.add(new Line(Integer.toString(sent), System.currentTimeMillis() + delayMillis));
          nextTick = System.currentTimeMillis() + 1000;
        }
      }
    } catch (IOException | InterruptedException e) {
      record.line("journal", "connection ended by the controller");
    } finally {
      open.remove(socket);
    }
  }

  /** A line and the Unix clock at which it is written, ms. */
  private record Line(String text, long dueAt) {}

  private void write(Socket socket, LinkedBlockingQueue<Line> queue) {
    try {
      while (true) {
        Line line = queue.take();
        Thread.sleep(Math.max(0, line.dueAt() - System.currentTimeMillis()));
        socket.getOutputStream().write((line.text() + "\n").getBytes(StandardCharsets.UTF_8));
        if (line.text().startsWith("{")) {
          record.line("journal", "written: event "
              + line.text().substring(7, line.text().indexOf(',')));
        }
      }
    } catch (IOException | InterruptedException e) {
      record.line("journal", "connection ended by the controller, " + queue.size()
          + " lines unwritten");
      try {
        socket.close();
      } catch (IOException closing) {
        record.line("journal", "close: " + closing.getMessage());
      }
    }
  }

  /** Breaks off: ends all connections and takes no new ones. */
  void down() throws IOException {
    record.line("journal", "down");
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  /** Takes connections again at the same address. */
  void up() throws IOException {
    record.line("journal", "up");
    listen();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
