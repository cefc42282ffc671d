package coveladder.app;

import coveladder.serve.Serve;
import coveladder.store.DiskStore;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The program. */
@Command(
    name = "coveladder",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A call router over trunk groups, with a rehearsal kit.",
    subcommands = {
      RunCommand.class,
      CheckCommand.class,
      StandinCommand.class,
      CallCommand.class,
      RehearseCommand.class,
      StateCommand.class
    })
public final class Main implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private Main() {}

  /** Runs the program and exits with its status: 0 well, 1 failed, 2 wrongly asked. */
  public static void main(String[] arguments) {
    if (arguments.length == 1 && arguments[0].equals("serve")) {
      System.exit(Serve.run(System.getenv("RELAY_CONFIG")));
    }
    System.exit(commandLine().execute(arguments));
  }

  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new Main());
    line.setExecutionExceptionHandler(Main::reportUserError);
    return line;
  }

  /** What a user did wrong is told in a line or two, not by a stack trace. */
  private static int reportUserError(
      Exception e, CommandLine commandLine, CommandLine.ParseResult parseResult) throws Exception {
    if (e instanceof SettingsFile.UnusableSettingsException
        || e instanceof DiskStore.UnusableFolderException
        || e instanceof IOException) {
      boolean missing = e instanceof java.nio.file.NoSuchFileException;
      commandLine.getErr().println(missing ? "no such file: " + e.getMessage() : e.getMessage());
      return 2;
    }
    throw e;
  }

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getOut());
  }

  /** The version as packaged. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"coveladder " + (version == null ? "unpackaged" : version)};
    }
  }
}
