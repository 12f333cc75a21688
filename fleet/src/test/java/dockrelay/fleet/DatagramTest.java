package dockrelay.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.Datagram.Entry;
import dockrelay.fleet.Datagram.Head;
import dockrelay.fleet.Datagram.Kind;
import dockrelay.fleet.Datagram.Refusal;
import dockrelay.fleet.Datagram.Unreadable;
import dockrelay.fleet.Datagram.Word;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of datagrams between members. */
class DatagramTest {
    private static byte[] some(Random random, List<Entry> entries, List<Word> words) {
        Datagram datagram = new Datagram(new Head(Kind.values()[random.nextInt(6)], random.nextInt(),
            random.nextLong() >>> 8, random.nextInt(), random.nextInt(), random.nextBoolean(),
                random.nextInt(),
            random.nextInt(), random.nextInt()));
        int from = datagram.entries(entries, 0, entries.size());
        assertEquals(entries.size(), from);
        datagram.words(words);
        ByteBuffer bytes = datagram.done();
        return Arrays.copyOf(bytes.array(), bytes.remaining());
    }

    private static byte[] sealed(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - 4);
        ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
        return bytes;
    }

    /**
     * Entries and reports survive encoding and decoding; the first reports are sent, as many as fit; ages are
     * rounded up.
     */
    @Test
    void whatIsWrittenIsReadAndNeverTooLong() throws Exception {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            List<Entry> entries = new ArrayList<>();
            for (int i = random.nextInt(24); i > 0; i--) {
                entries.add(new Entry(random.nextInt(), MemberState.values()[random.nextInt(5)],
                    random.nextLong() >>> 8 + random.nextInt(56), random.nextInt()));
            }
            List<Word> words = new ArrayList<>();
            for (int i = random.nextInt(300); i > 0; i--) {
                byte[] marks = new byte[25];
                Arrays.fill(marks, (byte) random.nextInt(1 + seed % 100));
                words.add(new Word(random.nextInt(), random.nextLong() >>> 8 + random.nextInt(56),
                    random.nextInt(1 << 20), random.nextInt(4_000_000), 7, marks));
            }
            byte[] bytes = some(random, entries, words);
            assertTrue(bytes.length <= Datagram.LONGEST);
            Datagram.Read read = Datagram.read(ByteBuffer.wrap(bytes));
            assertEquals(entries, read.entries());
            assertTrue(read.words().size() == words.size() || bytes.length > Datagram.LONGEST - 100,
                "reports were left out although the datagram has room");
            for (int i = 0; i < read.words().size(); i++) {
                Word written = words.get(i), got = read.words().get(i);
                assertEquals(written.incarnation(), got.incarnation());
                assertEquals(written.beat(), got.beat());
                assertArrayEquals(written.marks(), got.marks());
                assertTrue(got.age() >= written.age() && got.age() < written.age() + 1000);
            }
        }
    }

    /** Truncated, corrupted and random datagrams are rejected, even with a valid checksum. */
    @Test
    void whatIsNotWholeIsRefused() throws Exception {
        for (int seed = 0; seed < 3_000; seed++) {
            Random random = new Random(seed);
            byte[] whole = some(random, List.of(new Entry(1, MemberState.PRESENT, 5, 2)), List.of(new Word(1, 2,
                3, 4, 5,
                new byte[] {1, 2})));
            byte[] cut = Arrays.copyOf(whole, random.nextInt(whole.length));
            assertThrows(Unreadable.class, () -> Datagram.read(ByteBuffer.wrap(cut)));
            byte[] spoilt = whole.clone();
            spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 + random.nextInt(255));
            assertThrows(Unreadable.class, () -> Datagram.read(ByteBuffer.wrap(spoilt)));
            byte[] made = new byte[8 + random.nextInt(200)];
            random.nextBytes(made);
            System.arraycopy(whole, 0, made, 0, 3 + random.nextInt(5));
            try {
                Datagram.read(ByteBuffer.wrap(sealed(made)));
            } catch (Unreadable e) {
                assertEquals(Refusal.CUT, e.refusal);
            }
        }
    }

    /** Unknown sections are skipped; a later format version is rejected as such. */
    @Test
    void aLaterFormatIsToldApart() throws Exception {
        byte[] whole = some(new Random(1), List.of(new Entry(1, MemberState.PRESENT, 5, 2)), List.of());
        byte[] longer = Arrays.copyOf(whole, whole.length + 8);
        System.arraycopy(new byte[] {77, 0, 5, 1, 2, 3, 4, 5}, 0, longer, whole.length - 4, 8);
        assertEquals(1, Datagram.read(ByteBuffer.wrap(sealed(longer))).entries().size());
        byte[] newer = whole.clone();
        newer[2] = 2;
        assertEquals(Refusal.NEWER, assertThrows(Unreadable.class,
            () -> Datagram.read(ByteBuffer.wrap(sealed(newer)))).refusal);
    }
}
