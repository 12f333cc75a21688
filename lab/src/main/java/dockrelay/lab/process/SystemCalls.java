package dockrelay.lab.process;

import com.sun.jna.Library;
import com.sun.jna.Structure;
import com.sun.jna.Structure.FieldOrder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;

/**
 * System calls that the Java runtime doesn't offer: signals, resource limits and CPU affinity of another
 * process, and inheritance of a socket.
 */
final class SystemCalls {
    /** The functions of the C library that are used here. */
    interface CLibrary extends Library {
        CLibrary LIBRARY = com.sun.jna.Native.load("c", CLibrary.class);

        int kill(int pid, int signal);

        int sched_setaffinity(int pid, long size, byte[] mask);

        int prlimit(int pid, int resource, ResourceLimit newLimit, ResourceLimit oldLimit);

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
    public static final class ResourceLimit extends Structure {
        public long soft, hard;
    }

    private static final Map<String, Integer> SIGNALS = Map.of("HUP", 1, "CONT", 18, "STOP", 19);
    private static final int AF_INET = 2, SOCK_STREAM = 1, SOCK_CLOEXEC = 0x80000, SOL_SOCKET = 1,
        SO_REUSEADDR = 2, RLIMIT_FSIZE = 1;
    private static final int BACKLOG = 1024, CPU_MASK_BYTES = 128;

    private SystemCalls() {
    }

    /** Loads the C library, so that a system without it fails before any process is started. */
    static void load() {
        CLibrary.LIBRARY.getClass();
    }

    /** Sends HUP, CONT or STOP to a process. */
    static void signal(long pid, String signalName) {
        CLibrary.LIBRARY.kill((int) pid, SIGNALS.get(signalName));
    }

    /** Sets the maximum size of files that a process may write (RLIMIT_FSIZE). */
    static void limitFileSize(long pid, long maxBytes) throws IOException {
        ResourceLimit limit = new ResourceLimit();
        limit.soft = maxBytes;
        limit.hard = maxBytes;
        checkResult(CLibrary.LIBRARY.prlimit((int) pid, RLIMIT_FSIZE, limit, null), "prlimit");
    }

    /** Pins a process, with all threads that it starts from now on, to one processor. */
    static void pin(long pid, int processor) throws IOException {
        byte[] mask = new byte[CPU_MASK_BYTES];
        mask[processor / Byte.SIZE] = (byte) (1 << processor % Byte.SIZE);
        checkResult(CLibrary.LIBRARY.sched_setaffinity((int) pid, mask.length, mask), "sched_setaffinity");
    }

    /** Opens a listening socket at this IPv4 address and returns its descriptor. */
    static int openListeningSocket(InetSocketAddress socketAddress) throws IOException {
        int socket = checkResult(CLibrary.LIBRARY.socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket");
        checkResult(CLibrary.LIBRARY.setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, new byte[] {1, 0, 0, 0},
            4), "setsockopt");
        byte[] sockaddr = ByteBuffer.allocate(16).put((byte) AF_INET).put((byte) 0)
            .putShort((short) socketAddress.getPort())
            .put(socketAddress.getAddress().getAddress()).array();
        checkResult(CLibrary.LIBRARY.bind(socket, sockaddr, sockaddr.length), "bind");
        checkResult(CLibrary.LIBRARY.listen(socket, BACKLOG), "listen");
        return socket;
    }

    static void close(int descriptor) {
        CLibrary.LIBRARY.close(descriptor);
    }

    /**
     * Starts a process with this descriptor as its standard input. Synchronized, because the descriptor
     * replaces the lab's own standard input during the start.
     */
    static synchronized Process startWithInput(ProcessBuilder builder, int inputDescriptor)
        throws IOException {
        int savedInput = checkResult(CLibrary.LIBRARY.dup(0), "dup");
        try {
            checkResult(CLibrary.LIBRARY.dup2(inputDescriptor, 0), "dup2");
            return builder.redirectInput(ProcessBuilder.Redirect.INHERIT).start();
        } finally {
            CLibrary.LIBRARY.dup2(savedInput, 0);
            CLibrary.LIBRARY.close(savedInput);
        }
    }

    private static int checkResult(int result, String callName) throws IOException {
        if (result < 0) {
            throw new IOException(callName + " failed: errno " + com.sun.jna.Native.getLastError());
        }
        return result;
    }
}
