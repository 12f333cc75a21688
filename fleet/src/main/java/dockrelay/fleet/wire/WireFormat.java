package dockrelay.fleet.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Variable-length integers and checksums of datagrams. */
public final class WireFormat {
    private static final int CHECKSUM_BYTES = 4, MAX_SHIFT_BITS = 63;

    private WireFormat() {
    }

    /** Writes a non-negative number, seven bits per byte, low bits first. */
    public static void putVarint(ByteBuffer buffer, long value) {
        if (value < 0) {
            throw new IllegalArgumentException("number must not be negative: " + value);
        }
        long remainingBits = value;
        while (remainingBits > 0x7f) {
            buffer.put((byte) (remainingBits | 0x80));
            remainingBits >>>= 7;
        }
        buffer.put((byte) remainingBits);
    }

    /**
     * Reads a number.
     *
     * @throws BufferUnderflowException if the buffer ends before the number does, or the number is too long
     */
    public static long getVarint(ByteBuffer buffer) {
        long value = 0;
        for (int shift = 0; shift < MAX_SHIFT_BITS; shift += 7) {
            byte nextByte = buffer.get();
            value |= (long) (nextByte & 0x7f) << shift;
            if (nextByte >= 0) {
                return value;
            }
        }
        throw new BufferUnderflowException();
    }

    /** Appends the checksum of the bytes written so far, and flips the buffer. */
    public static ByteBuffer appendChecksum(ByteBuffer buffer) {
        buffer.putInt(checksum(buffer.array(), buffer.position()));
        return buffer.flip();
    }

    /** Returns the content without its checksum, or null if the checksum does not match. */
    public static ByteBuffer verifyChecksum(ByteBuffer datagram) {
        byte[] bytes = new byte[datagram.remaining()];
        datagram.get(bytes);
        int length = bytes.length - CHECKSUM_BYTES;
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
