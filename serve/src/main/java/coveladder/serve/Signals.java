package coveladder.serve;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Handlers for signals of the operating system. The JDK has no public API for signals, so its
 * internal class is called by reflection; where it is missing, signals keep their default effect.
 */
public final class Signals {
  private static final Path PROCESS_STATUS = Path.of("/proc/self/status");

  private Signals() {}

  /**
   * Returns whether the process was started with a signal ignored, as nohup does for HUP. The
   * virtual machine then leaves it ignored, and its handler never runs. False if this cannot be
   * determined.
   *
   * @param number number of the signal, such as 1 for HUP
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

  /**
   * Runs a task each time a signal arrives.
   *
   * @param name name of the signal, such as HUP
   * @param task called on a thread of the virtual machine
   * @return false if handlers cannot be set on this system
   */
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
