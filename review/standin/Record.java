package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each message, with the Unix clock in ms. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startedAt = System.currentTimeMillis();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
    line("run", "times are ms since the start of the run, Unix clock " + startedAt);
  }

  synchronized void line(String who, String text) {
    out.printf("%8d %-12s %s%n", System.currentTimeMillis() - startedAt, who, text);
  }

  /** Also prints the line. */
  void say(String text) {
    System.out.println(text);
    line("result", text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
