package bitternpulley.aggregator;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/** A signal by which the platform or an operator controls the process. */
enum ProcessSignal {
  /** The configuration file was replaced. */
  HUP,
  /** The process is to shut down; sent from a terminal. */
  INT,
  /** The process is to shut down. */
  TERM;

  /**
   * Runs the task on a JVM thread each time the signal arrives, in place of the JVM's default.
   *
   * <p>The defaults do not fit: SIGHUP would end the process, and a shutdown hook cannot log, since
   * the JDK shuts logging down at the same time. {@code sun.misc.Signal} is called by reflection
   * because the compiler warning for it cannot be suppressed and the JDK has no public API for
   * signals.
   *
   * @return false when the parent process had set the signal to be ignored: the JVM leaves it
   *     ignored, and the task never runs
   */
  boolean onReceive(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object previous =
          signal
              .getMethod("handle", signal, handler)
              .invoke(
                  null,
                  signal.getConstructor(String.class).newInstance(name()),
                  proxy(handler, task));
      return previous != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException exception) {
      throw new IllegalStateException(
          "This JVM does not support handlers for SIG" + name(), exception);
    }
  }

  private static Object proxy(Class<?> handler, Runnable task) {
    InvocationHandler calls = (proxy, method, arguments) -> call(proxy, method, arguments, task);
    return Proxy.newProxyInstance(
        ProcessSignal.class.getClassLoader(), new Class<?>[] {handler}, calls);
  }

  /** A proxy also receives calls of {@code equals} and {@code hashCode}. */
  private static Object call(Object proxy, Method method, Object[] arguments, Runnable task) {
    if (method.getName().equals("handle")) {
      task.run();
      return null;
    }
    if (method.getName().equals("equals")) {
      return proxy == arguments[0];
    }
    return System.identityHashCode(proxy);
  }
}
