package dockrelay.proxy;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP. The JDK only offers the internal class sun.misc.Signal, which is accessed by reflection
 * to avoid compiler warnings.
 */
final class Signals {
    private Signals() {
    }

    /** Runs the action on a separate thread at each SIGHUP, which would terminate the process otherwise. */
    static void onHangUp(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(handlerClass.getClassLoader(),
                new Class<?>[] {handlerClass},
                (self, method, arguments) -> {
                    action.run();
                    return null;
                });
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, hangUpSignal(),
                handlerProxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a handler for SIGHUP", e);
        }
    }

    static Object hangUpSignal() throws ReflectiveOperationException {
        return Class.forName("sun.misc.Signal").getConstructor(String.class).newInstance("HUP");
    }
}
