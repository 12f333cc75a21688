package dockrelay.fleet.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Numbers as few bytes, and what shows that a datagram came as it was sent. */
public final class WireFormat {
    private static final int CHECKSUM = 4, LONGEST_SHIFT = 63;

    private WireFormat() {
    }

    /** Seven bits a byte, the low ones first; nothing is below 0. */
    public static void putVarint(ByteBuffer out, long value) {
        if (value < 0) {
            throw new IllegalArgumentException("a number below 0: " + value);
        }
        long left = value;
        while (left > 0x7f) {
            out.put((byte) (left | 0x80));
            left >>>= 7;
        }
        out.put((byte) left);
    }

    public static long getVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < LONGEST_SHIFT; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 0x7f) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new BufferUnderflowException();
    }

    /** Ends what has been written by its checksum, to be read. */
    public static ByteBuffer appendChecksum(ByteBuffer written) {
        written.putInt(checksum(written.array(), written.position()));
        return written.flip();
    }

    /** What was sealed, without its checksum; null where it is not as it was sent. */
    public static ByteBuffer verifyChecksum(ByteBuffer from) {
        byte[] bytes = new byte[from.remaining()];
        from.get(bytes);
        int length = bytes.length - CHECKSUM;
        if (length < 0 || checksum(bytes, length) != ByteBuffer.wrap(bytes).getInt(length)) {
            return null;
        }
        return ByteBuffer.wrap(bytes, 0, length).slice();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
