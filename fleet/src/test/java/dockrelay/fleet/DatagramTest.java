package dockrelay.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.Datagram.DecodeException;
import dockrelay.fleet.Datagram.Header;
import dockrelay.fleet.Datagram.Kind;
import dockrelay.fleet.Datagram.MemberUpdate;
import dockrelay.fleet.Datagram.RefusalReason;
import dockrelay.fleet.Datagram.ViewReport;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of datagrams between members. */
class DatagramTest {
    private static byte[] randomDatagram(Random random, List<MemberUpdate> updates,
        List<ViewReport> reports) {
        Datagram datagram = new Datagram(new Header(Kind.values()[random.nextInt(6)], random.nextInt(),
            random.nextLong() >>> 8, random.nextInt(), random.nextInt(), random.nextBoolean(),
            random.nextInt(), random.nextInt(), random.nextInt()));
        int nextIndex = datagram.appendUpdates(updates, 0, updates.size());
        assertEquals(updates.size(), nextIndex);
        datagram.appendReports(reports);
        ByteBuffer encoded = datagram.finish();
        return Arrays.copyOf(encoded.array(), encoded.remaining());
    }

    private static byte[] withChecksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - 4);
        ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
        return bytes;
    }

    /**
     * Updates and reports survive encoding and decoding; the first reports are sent, as many as fit; ages are
     * rounded up.
     */
    @Test
    void encodedDatagramsDecodeAndStayWithinMaximumSize() throws Exception {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            List<MemberUpdate> updates = new ArrayList<>();
            for (int i = random.nextInt(24); i > 0; i--) {
                updates.add(new MemberUpdate(random.nextInt(), MemberState.values()[random.nextInt(5)],
                    random.nextLong() >>> 8 + random.nextInt(56), random.nextInt()));
            }
            List<ViewReport> reports = new ArrayList<>();
            for (int i = random.nextInt(300); i > 0; i--) {
                byte[] memberFlags = new byte[25];
                Arrays.fill(memberFlags, (byte) random.nextInt(1 + seed % 100));
                reports.add(new ViewReport(random.nextInt(), random.nextLong() >>> 8 + random.nextInt(56),
                    random.nextInt(1 << 20), random.nextInt(4_000_000), 7, memberFlags));
            }
            byte[] bytes = randomDatagram(random, updates, reports);
            assertTrue(bytes.length <= Datagram.MAX_DATAGRAM_BYTES);
            Datagram.Decoded decoded = Datagram.decode(ByteBuffer.wrap(bytes));
            assertEquals(updates, decoded.updates());
            assertTrue(decoded.reports().size() == reports.size()
                || bytes.length > Datagram.MAX_DATAGRAM_BYTES - 100,
                "reports were left out although the datagram has room");
            for (int i = 0; i < decoded.reports().size(); i++) {
                ViewReport sentReport = reports.get(i), receivedReport = decoded.reports().get(i);
                assertEquals(sentReport.incarnation(), receivedReport.incarnation());
                assertEquals(sentReport.heartbeat(), receivedReport.heartbeat());
                assertArrayEquals(sentReport.memberFlags(), receivedReport.memberFlags());
                assertTrue(receivedReport.age() >= sentReport.age() && receivedReport.age() < sentReport.age()
                    + 1000);
            }
        }
    }

    /**
     * Truncated and corrupted datagrams are refused. Random content with a valid checksum is decoded or
     * refused, without any other exception.
     */
    @Test
    void malformedDatagramsAreRefused() throws Exception {
        for (int seed = 0; seed < 3_000; seed++) {
            Random random = new Random(seed);
            byte[] validDatagram = randomDatagram(random,
                List.of(new MemberUpdate(1, MemberState.PRESENT, 5, 2)),
                List.of(new ViewReport(1, 2, 3, 4, 5, new byte[] {1, 2})));
            byte[] truncatedDatagram = Arrays.copyOf(validDatagram, random.nextInt(validDatagram.length));
            assertThrows(DecodeException.class, () -> Datagram.decode(ByteBuffer.wrap(truncatedDatagram)));
            byte[] corruptedDatagram = validDatagram.clone();
            corruptedDatagram[random.nextInt(corruptedDatagram.length)] ^= (byte) (1 + random.nextInt(255));
            assertThrows(DecodeException.class, () -> Datagram.decode(ByteBuffer.wrap(corruptedDatagram)));
            byte[] randomContent = new byte[8 + random.nextInt(200)];
            random.nextBytes(randomContent);
            System.arraycopy(validDatagram, 0, randomContent, 0, 3 + random.nextInt(5));
            try {
                Datagram.decode(ByteBuffer.wrap(withChecksum(randomContent)));
            } catch (DecodeException e) {
                assertEquals(RefusalReason.CUT, e.reason);
            }
        }
    }

    /** Unknown sections are skipped; a later format version is refused as such. */
    @Test
    void unknownSectionsAreSkippedAndNewerVersionsRefused() throws Exception {
        byte[] validDatagram = randomDatagram(new Random(1),
            List.of(new MemberUpdate(1, MemberState.PRESENT, 5, 2)), List.of());
        byte[] withUnknownSection = Arrays.copyOf(validDatagram, validDatagram.length + 8);
        System.arraycopy(new byte[] {77, 0, 5, 1, 2, 3, 4, 5}, 0, withUnknownSection,
            validDatagram.length - 4, 8);
        assertEquals(1, Datagram.decode(ByteBuffer.wrap(withChecksum(withUnknownSection))).updates().size());
        byte[] newerDatagram = validDatagram.clone();
        newerDatagram[2] = 2;
        assertEquals(RefusalReason.NEWER, assertThrows(DecodeException.class,
            () -> Datagram.decode(ByteBuffer.wrap(withChecksum(newerDatagram)))).reason);
    }
}
