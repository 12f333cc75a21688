package dockrelay.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Detects whether another process of this proxy runs concurrently, as during an upgrade. Each process
 * locks one of two slot files; the operating system releases the lock however the process ends. Each
 * writes its number of open descriptors into its slot file, since the limit applies to both processes
 * together.
 */
final class UpgradeOverlapDetector {
    private final FileChannel[] seats = new FileChannel[2];
    private int own = -1;

    UpgradeOverlapDetector(Path folder) throws IOException {
        Files.createDirectories(folder);
        for (int i = 0; i < seats.length; i++) {
            seats[i] = FileChannel.open(folder.resolve("seat-" + i), StandardOpenOption.CREATE,
                StandardOpenOption.READ, StandardOpenOption.WRITE);
        }
        for (int i = 0; i < seats.length && own < 0; i++) {
            own = lock(seats[i]) == null ? -1 : i;
        }
    }

    /**
     * Publishes the number of descriptors that this process holds, and returns that of the other
     * process; -1 if no other process runs.
     */
    int exchangeDescriptorCounts(int held) throws IOException {
        if (own < 0) {
            return 0; // a third process is not supported: it ignores the other two
        }
        ByteBuffer figure = ByteBuffer.allocate(Integer.BYTES);
        seats[own].write(figure.putInt(held).flip(), 0);
        FileLock other = lock(seats[1 - own]);
        if (other != null) {
            other.release();
            return -1;
        }
        figure.clear();
        return seats[1 - own].read(figure, 0) < Integer.BYTES ? 0 : Math.max(0, figure.getInt(0));
    }

    /** Tries to lock a slot; null if it is locked already, in this process or another. */
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
