package bitternpulley;

import java.lang.reflect.Proxy;

/**
 * What the platform tells by signals: SIGHUP that the configuration file was replaced, SIGTERM that
 * the program is to end.
 */
final class Signals {
  private Signals() {}

  /**
   * Has the task run, on a thread of the JVM's own, at each such signal. Guards against the JVM's
   * defaults: SIGHUP ends the program, and what a shutdown hook does on SIGTERM has no log, which
   * the JDK ends at the same time. Called by reflection: the compiler has a warning for the class
   * that no one can switch off, and the JDK has no other way to hear of a signal.
   *
   * @return false where the caller of this program had the signal ignored: the JVM leaves SIGHUP,
   *     SIGINT and SIGTERM so, and the task never runs. Signals of other names are always heard.
   */
  static boolean onEach(String name, Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handles =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                  return null;
                }
                return method.getName().equals("equals")
                    ? proxy == arguments[0]
                    : System.identityHashCode(proxy);
              });
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance(name), handles);
      return before != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this JVM lets no one hear of signals", e);
    }
  }
}
