package dockrelay.lab.process;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.util.Map;

/** Signals that the runtime has no call for. */
final class Signals {
    /** The C library, as far as it is needed. */
    interface C extends Library {
        C LIBRARY = Native.load("c", C.class);

        int kill(int process, int signal);
    }

    private static final Map<String, Integer> NUMBERS = Map.of("HUP", 1, "CONT", 18, "STOP", 19);

    private Signals() {
    }

    static void send(long process, String name) {
        C.LIBRARY.kill((int) process, NUMBERS.get(name));
    }
}
