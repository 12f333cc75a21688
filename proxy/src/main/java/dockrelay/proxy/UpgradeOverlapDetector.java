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
    private final FileChannel[] slots = new FileChannel[2];
    private int ownSlot = -1;

    UpgradeOverlapDetector(Path folder) throws IOException {
        Files.createDirectories(folder);
        for (int i = 0; i < slots.length; i++) {
            slots[i] = FileChannel.open(folder.resolve("seat-" + i), StandardOpenOption.CREATE,
                StandardOpenOption.READ, StandardOpenOption.WRITE);
        }
        for (int i = 0; i < slots.length && ownSlot < 0; i++) {
            ownSlot = tryLock(slots[i]) == null ? -1 : i;
        }
    }

    /**
     * Publishes the number of descriptors that this process holds, and returns that of the other
     * process; -1 if no other process runs, 0 if the number is unknown.
     */
    int exchangeDescriptorCounts(int openDescriptors) throws IOException {
        if (ownSlot < 0) {
            return 0; // a third process is not supported: it ignores the other two
        }
        ByteBuffer count = ByteBuffer.allocate(Integer.BYTES);
        slots[ownSlot].write(count.putInt(openDescriptors).flip(), 0);
        FileLock otherSlotLock = tryLock(slots[1 - ownSlot]);
        if (otherSlotLock != null) {
            otherSlotLock.release();
            return -1;
        }
        count.clear();
        return slots[1 - ownSlot].read(count, 0) < Integer.BYTES ? 0 : Math.max(0, count.getInt(0));
    }

    /** Tries to lock a slot; null if it is locked already, in this process or another. */
    private static FileLock tryLock(FileChannel slot) throws IOException {
        try {
            return slot.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    void close() throws IOException {
        for (FileChannel slot : slots) {
            slot.close();
        }
    }
}
