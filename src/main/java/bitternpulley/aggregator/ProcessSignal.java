package bitternpulley.aggregator;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/** A signal by which the platform or an operator controls the process. */
enum ProcessSignal {
  /** The configuration file was replaced. */
  HUP,
  /** The process shall shut down; sent from a terminal. */
  INT,
  /** The process shall shut down. */
  TERM;

  /**
   * Runs the task on a JVM thread each time the signal arrives, replacing the JVM's default action.
   *
   * <p>The default actions are unsuitable: SIGHUP would terminate the process, and a shutdown hook
   * cannot log, because the JDK shuts down logging at the same time. {@code sun.misc.Signal} is
   * called by reflection, because the compiler warning for it cannot be suppressed and the JDK has
   * no public API for signals.
   *
   * @return false if the parent process had the signal ignored: the JVM leaves it ignored, and the
   *     task never runs
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
                  createProxy(handler, task));
      return previous != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException exception) {
      throw new IllegalStateException(
          "This JVM does not support handlers for SIG" + name(), exception);
    }
  }

  private static Object createProxy(Class<?> handler, Runnable task) {
    InvocationHandler invocationHandler =
        (proxy, method, arguments) -> invoke(proxy, method, arguments, task);
    return Proxy.newProxyInstance(
        ProcessSignal.class.getClassLoader(), new Class<?>[] {handler}, invocationHandler);
  }

  /** Handles calls of the proxy, which include {@code equals} and {@code hashCode}. */
  private static Object invoke(Object proxy, Method method, Object[] arguments, Runnable task) {
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
