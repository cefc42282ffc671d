package coveladder.serve;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Signals of the operating system. The JDK has no public name for them; its own class is reached by
 * reflection, and where there is none the signal keeps its usual effect.
 */
public final class Signals {
  private static final Path PROCESS_STATUS = Path.of("/proc/self/status");

  private Signals() {}

  /**
   * Whether a signal is ignored by word of whoever started this process, as by nohup: the virtual
   * machine then leaves it so, and a task set for it never runs. False where that cannot be known.
   *
   * @param number of the signal, such as 1 for HUP
   */
  public static boolean isIgnored(int number) {
    try (Stream<String> lines = Files.lines(PROCESS_STATUS)) {
      return lines
          .filter(line -> line.startsWith("SigIgn:"))
          .anyMatch(line -> (mask(line) >> (number - 1) & 1) == 1);
    } catch (IOException | UncheckedIOException | NumberFormatException e) {
      return false;
    }
  }

  private static long mask(String line) {
    return Long.parseUnsignedLong(line.substring(line.indexOf(':') + 1).trim(), 16);
  }

  /** Runs a task at each signal of that name, such as HUP; whether that is possible here. */
  public static boolean setHandler(String name, Runnable task) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object handlerProxy =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      Object signalObject = signalClass.getConstructor(String.class).newInstance(name);
      signalClass
          .getMethod("handle", signalClass, handlerClass)
          .invoke(null, signalObject, handlerProxy);
      return true;
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      return false;
    }
  }
}
