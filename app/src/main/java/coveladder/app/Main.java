package coveladder.app;

import coveladder.net.FatalErrorHandler;
import coveladder.serve.Serve;
import coveladder.store.DiskStore;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The command line program. */
@Command(
    name = "coveladder",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A call router over trunk groups, with rehearsals on stand-in exchanges.",
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

  /** Runs the program and exits with its status: 0 success, 1 failure, 2 usage error. */
  public static void main(String[] arguments) {
    FatalErrorHandler.install();
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

  /** Reports a user's error by its message, without a stack trace. */
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

  /** The version from the manifest of the jar. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"coveladder " + (version == null ? "unpackaged" : version)};
    }
  }
}
