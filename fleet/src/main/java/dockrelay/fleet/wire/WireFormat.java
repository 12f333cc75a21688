package dockrelay.fleet.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Variable-length integers and checksums of datagrams. */
public final class WireFormat {
    private static final int CHECKSUM = 4, LONGEST_SHIFT = 63;

    private WireFormat() {
    }

    /** Writes a non-negative number, seven bits per byte, low bits first. */
    public static void putVarint(ByteBuffer out, long value) {
        if (value < 0) {
            throw new IllegalArgumentException("number must not be negative: " + value);
        }
        long left = value;
        while (left > 0x7f) {
            out.put((byte) (left | 0x80));
            left >>>= 7;
        }
        out.put((byte) left);
    }

    /**
     * Reads a number.
     *
     * @throws BufferUnderflowException if the buffer ends before the number does, or the number is too long
     */
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

    /** Appends the checksum of the bytes written so far, and flips the buffer. */
    public static ByteBuffer appendChecksum(ByteBuffer written) {
        written.putInt(checksum(written.array(), written.position()));
        return written.flip();
    }

    /** Returns the content without its checksum, or null if the checksum does not match. */
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
