package dockrelay.lab.process;

import com.sun.jna.Library;
import com.sun.jna.Structure;
import com.sun.jna.Structure.FieldOrder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;

/** What the runtime has no call for: signals by number, limits of another process, a socket to hand down. */
final class Native {
    /** The C library, as far as it is needed. */
    interface C extends Library {
        C LIBRARY = com.sun.jna.Native.load("c", C.class);

        int kill(int process, int signal);

        int sched_setaffinity(int process, long size, byte[] mask);

        int prlimit(int process, int resource, Limit limit, Limit before);

        int socket(int domain, int type, int protocol);

        int setsockopt(int socket, int level, int name, byte[] value, int length);

        int bind(int socket, byte[] address, int length);

        int listen(int socket, int backlog);

        int dup(int descriptor);

        int dup2(int from, int to);

        int close(int descriptor);
    }

    /** struct rlimit. */
    @FieldOrder({"soft", "hard"})
    public static final class Limit extends Structure {
        public long soft, hard;
    }

    private static final Map<String, Integer> SIGNALS = Map.of("HUP", 1, "CONT", 18, "STOP", 19);
    private static final int INET = 2, STREAM = 1, CLOSE_ON_EXEC = 0x80000, SOCKET = 1, REUSE = 2, FILE_SIZE =
        1;
    private static final int BACKLOG = 1024, MASK = 128;

    private Native() {
    }

    /** Fails before anything is started where this system has no such calls. */
    static void load() {
        C.LIBRARY.getClass();
    }

    static void signal(long process, String name) {
        C.LIBRARY.kill((int) process, SIGNALS.get(name));
    }

    /** No file of that process may grow past this. */
    static void limitFiles(long process, long bytes) throws IOException {
        Limit limit = new Limit();
        limit.soft = bytes;
        limit.hard = bytes;
        check(C.LIBRARY.prlimit((int) process, FILE_SIZE, limit, null), "prlimit");
    }

    /** It runs on this processor alone, with all threads that it starts from now on. */
    static void pin(long process, int processor) throws IOException {
        byte[] mask = new byte[MASK];
        mask[processor / Byte.SIZE] = (byte) (1 << processor % Byte.SIZE);
        check(C.LIBRARY.sched_setaffinity((int) process, mask.length, mask), "sched_setaffinity");
    }

    /** A descriptor of a socket that listens at this address. */
    static int listening(InetSocketAddress at) throws IOException {
        int socket = check(C.LIBRARY.socket(INET, STREAM | CLOSE_ON_EXEC, 0), "socket");
        check(C.LIBRARY.setsockopt(socket, SOCKET, REUSE, new byte[] {1, 0, 0, 0}, 4), "setsockopt");
        byte[] address = ByteBuffer.allocate(16).put((byte) INET).put((byte) 0).putShort((short) at.getPort())
            .put(at.getAddress().getAddress()).array();
        check(C.LIBRARY.bind(socket, address, address.length), "bind");
        check(C.LIBRARY.listen(socket, BACKLOG), "listen");
        return socket;
    }

    static void close(int descriptor) {
        C.LIBRARY.close(descriptor);
    }

    /**
     * Starts a process that has this descriptor as its standard input. One at a time: it is the lab's for a
     * moment.
     */
    static synchronized Process start(ProcessBuilder builder, int input) throws IOException {
        int own = check(C.LIBRARY.dup(0), "dup");
        try {
            check(C.LIBRARY.dup2(input, 0), "dup2");
            return builder.redirectInput(ProcessBuilder.Redirect.INHERIT).start();
        } finally {
            C.LIBRARY.dup2(own, 0);
            C.LIBRARY.close(own);
        }
    }

    private static int check(int result, String call) throws IOException {
        if (result < 0) {
            throw new IOException(call + " failed: error " + com.sun.jna.Native.getLastError());
        }
        return result;
    }
}
