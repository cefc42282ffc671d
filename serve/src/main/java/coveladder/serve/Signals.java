package coveladder.serve;

import java.lang.reflect.Proxy;

/**
 * Signals of the operating system. The JDK has no public name for them; its own class is reached by
 * reflection, and where there is none the signal keeps its usual effect.
 */
public final class Signals {
  private Signals() {}

  /** Runs a task at each signal of that name, such as HUP; whether that is possible here. */
  public static boolean on(String name, Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object taken =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      Object made = signal.getConstructor(String.class).newInstance(name);
      signal.getMethod("handle", signal, handler).invoke(null, made, taken);
      return true;
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      return false;
    }
  }
}
