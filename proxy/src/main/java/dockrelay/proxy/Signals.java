package dockrelay.proxy;

import java.lang.reflect.Proxy;

/** Signals other than the ones that end a program. The JDK's only way is one the compiler warns of. */
final class Signals {
    private Signals() {
    }

    /** Runs this on a thread of its own at each SIGHUP, which would end the program otherwise. */
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
            throw new IllegalStateException("cannot take SIGHUP", e);
        }
    }

    static Object hangUpSignal() throws ReflectiveOperationException {
        return Class.forName("sun.misc.Signal").getConstructor(String.class).newInstance("HUP");
    }
}
