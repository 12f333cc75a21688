package dockrelay.proxy;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells whether another process of this proxy runs beside this one, as in an upgrade: each holds the lock of
 * one of two seats, which the system takes back however the process ends.
 */
final class Succession {
    private final FileChannel[] seats = new FileChannel[2];
    private int own = -1;

    Succession(Path folder) throws IOException {
        Files.createDirectories(folder);
        for (int i = 0; i < seats.length; i++) {
            seats[i] = FileChannel.open(folder.resolve("seat-" + i), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        }
        for (int i = 0; i < seats.length && own < 0; i++) {
            own = lock(seats[i]) == null ? -1 : i;
        }
    }

    /** Whether somebody has the other seat; one without a seat has others beside it. */
    boolean beside() throws IOException {
        if (own < 0) {
            return true;
        }
        FileLock other = lock(seats[1 - own]);
        if (other != null) {
            other.release();
        }
        return other == null;
    }

    /** Null where somebody else has it, in this process or another. */
    private static FileLock lock(FileChannel seat) throws IOException {
        try {
            return seat.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    void close() throws IOException {
        for (FileChannel seat : seats) {
            seat.close();
        }
    }
}
