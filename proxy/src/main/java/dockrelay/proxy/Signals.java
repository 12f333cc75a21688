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
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object told = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                (self, method, arguments) -> {
                    action.run();
                    return null;
                });
            signal.getMethod("handle", signal, handler).invoke(null, hangUpSignal(), told);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a handler for SIGHUP", e);
        }
    }

    static Object hangUpSignal() throws ReflectiveOperationException {
        return Class.forName("sun.misc.Signal").getConstructor(String.class).newInstance("HUP");
    }
}
