package coveladder.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a settings file. */
@Command(
    name = "check",
    description = "Check a settings file; report each problem with its position.")
final class CheckCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "settings file, a KDL document")
  private Path file;

  @Override
  public Integer call() throws Exception {
    Settings settings = SettingsFile.read(file);
    spec.commandLine()
        .getOut()
        .printf(
            "%s: usable; exchange %d of domain %s, %d classes%n",
            file, settings.exchangeNumber(), settings.domain(), settings.classes().size());
    return 0;
  }
}
