package willowyoke;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a JVM that does not handle it. The JDK's only way to handle a signal is sun.misc.Signal;
 * the compiler warns of that class wherever it is named, and warnings are errors here, hence the reflection.
 */
final class Hangup {
    private Hangup() { }

    static void handle(Runnable what) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object each = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                (proxy, method, args) -> {
                    if (method.getDeclaringClass() == handler) {
                        what.run();
                    }
                    return null;
                });
            signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), each);
        } catch (ReflectiveOperationException e) {
            System.err.println("SIGHUP is not handled: " + e);
        }
    }
}
