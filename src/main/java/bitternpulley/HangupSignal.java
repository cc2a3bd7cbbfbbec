package bitternpulley;

import java.lang.reflect.Proxy;

/** SIGHUP, by which the platform says that the configuration file was replaced. */
final class HangupSignal {
  private HangupSignal() {}

  /**
   * Has the task run, on a thread of the JVM's own, at each SIGHUP. Guards against the JVM's default, which ends the
   * program on it with status 129. Called by reflection: the compiler has a warning for the class that no one can
   * switch off, and the JDK has no other way to hear of a signal.
   */
  static void onEach(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handles = Proxy.newProxyInstance(HangupSignal.class.getClassLoader(), new Class<?>[] {handler},
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              task.run();
              return null;
            }
            return method.getName().equals("equals") ? proxy == arguments[0] : System.identityHashCode(proxy);
          });
      signal.getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handles);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this JVM lets no one hear of SIGHUP", e);
    }
  }
}
