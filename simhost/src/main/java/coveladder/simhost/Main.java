package coveladder.simhost;

import coveladder.wire.WireException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Command line program that runs the routing policy on the simulator's line protocol. */
public final class Main {
  private static final String USAGE =
      "usage: java -jar coveladder.jar simhost | --help | --version\n"
          + "  simhost    read batches of events on standard input, answer on standard output";

  private Main() {}

  /** Runs the program and exits: 0 done, 2 wrong usage or unreadable input. */
  public static void main(String[] args) throws IOException {
    var out = new PrintStream(System.out, false, StandardCharsets.UTF_8);
    int status = run(args, System.in, out, System.err);
    out.flush();
    System.exit(status);
  }

  /** Runs the program on the given streams and returns its exit status. */
  static int run(String[] args, InputStream in, PrintStream out, PrintStream err)
      throws IOException {
    switch (args.length == 1 ? args[0] : "") {
      case "simhost" -> {
        return runSimHost(in, out, err);
      }
      case "--help" -> out.println(USAGE);
      case "--version" -> out.println("coveladder " + version());
      default -> {
        err.println(USAGE);
        return 2;
      }
    }
    return 0;
  }

  private static int runSimHost(InputStream in, PrintStream out, PrintStream err)
      throws IOException {
    try {
      var reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
      new SimHost(reader, out).run();
      return 0;
    } catch (WireException e) {
      err.println(e.getMessage());
      return 2;
    }
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "unpackaged" : version;
  }
}
