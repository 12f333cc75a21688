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
 * Tells whether another process of this proxy runs beside this one, as in an upgrade: each holds the lock of
 * one of two seats, which the system takes back however the process ends. In its seat's file is how many
 * descriptors it holds, as the limit is for both together.
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
     * Tells the other process how many descriptors this one holds, and returns how many the other does; below
     * 0 where there is none.
     */
    int exchangeDescriptorCounts(int held) throws IOException {
        if (own < 0) {
            return 0; // a third one is not foreseen: it takes no notice of the other two
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
