package dockrelay.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Encoder and decoder of the datagrams between members of a group; docs/membership.md has the format. */
final class Datagram {
    static final int LONGEST = 1400;
    static final byte MAGIC = (byte) 0xd5;
    private static final short MAGICS = (short) 0xd552;
    private static final byte VERSION = 1;
    private static final byte ENTRIES = 1, WORDS = 2;
    private static final int CHECKSUM = 4, SECTION = 3;
    /** The maximum encoded size of an entry in bytes. */
    static final int ENTRY = 4 + 1 + 8 + 4;
    private static final int DICTIONARY = 64;
    private static final long LONGEST_AGE = 1L << 40;

    /**
     * Kinds by their code on the wire. ASK requests an indirect ping, HEARD reports its success. MISNAMED
     * tells the receiver that its address belongs to another member.
     */
    enum Kind { PING, ACK, ASK, HEARD, SYNC, MISNAMED }

    /** Why a datagram was rejected. */
    enum Refusal { CUT, FOREIGN, CHECKSUM, NEWER, STRANGER, MISNAMED }

    /** A gossiped state of a member, with the id of the member that first reported it. */
    record Entry(int id, MemberState state, long incarnation, int by) {
    }

    /**
     * A member's report of its view, with the maximum age in microseconds and the hash of its member list.
     */
    record Word(int id, long incarnation, long beat, long age, int list, byte[] marks) {
    }

    /**
     * The header of each datagram; {@code to} identifies the receiving process, as far as the sender knows
     * it, else it is 0.
     */
    record Head(Kind kind, int sender, long incarnation, int life, int to, boolean leaving, int view,
                int sequence, int target) {
    }

    /** A decoded datagram. */
    record Read(Head head, List<Entry> entries, List<Word> words) {
    }

    /** Thrown if a datagram cannot be decoded. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;
        final transient Refusal refusal;

        Unreadable(Refusal refusal) {
            super(refusal.name(), null, false, false);
            this.refusal = refusal;
        }
    }

    private final ByteBuffer bytes = ByteBuffer.allocate(LONGEST);

    Datagram(Head head) {
        bytes.putShort(MAGICS).put(VERSION).put((byte) head.kind.ordinal()).putInt(head.sender);
        number(bytes, head.incarnation);
        bytes.putInt(head.life).putInt(head.to).put((byte) (head.leaving ? 1
            : 0)).putInt(head.view).putInt(head.sequence)
            .putInt(head.target);
    }

    private int room() {
        return bytes.remaining() - CHECKSUM - SECTION;
    }

    /** Appends entries from an index on as far as they fit; returns the index of the first one left out. */
    int entries(List<Entry> entries, int from, int most) {
        int at = from;
        int start = bytes.position();
        if (at < entries.size() && room() >= ENTRY) {
            bytes.put(ENTRIES).putShort((short) 0);
            while (at < entries.size() && at - from < most && bytes.remaining() - CHECKSUM >= ENTRY) {
                Entry entry = entries.get(at++);
                bytes.putInt(entry.id).put((byte) entry.state.ordinal());
                number(bytes, entry.incarnation);
                bytes.putInt(entry.by);
            }
            bytes.putShort(start + 1, (short) (bytes.position() - start - SECTION));
        }
        return at;
    }

    /** Appends as many reports as fit. Many report the same view: each distinct view is written once. */
    void words(List<Word> words) {
        List<Word> taken = new ArrayList<>(), distinct = new ArrayList<>();
        List<Integer> which = new ArrayList<>();
        int room = room() - 1;
        for (Word word : words) {
            int same = 0;
            while (same < distinct.size() && !(distinct.get(same).list == word.list
                && java.util.Arrays.equals(distinct.get(same).marks, word.marks))) {
                same++;
            }
            int cost = 4 + length(word.incarnation) + length(word.beat) + length(millis(word.age)) + 1
                + (same < distinct.size() ? 0 : 4 + 2 + word.marks.length);
            if (cost > room || same == DICTIONARY) {
                break;
            }
            room -= cost;
            if (same == distinct.size()) {
                distinct.add(word);
            }
            taken.add(word);
            which.add(same);
        }
        if (taken.isEmpty()) {
            return;
        }
        int start = bytes.position();
        bytes.put(WORDS).putShort((short) 0).put((byte) distinct.size());
        for (Word word : distinct) {
            bytes.putInt(word.list).putShort((short) word.marks.length).put(word.marks);
        }
        for (int i = 0; i < taken.size(); i++) {
            Word word = taken.get(i);
            bytes.putInt(word.id);
            number(bytes, word.incarnation);
            number(bytes, word.beat);
            number(bytes, millis(word.age));
            bytes.put((byte) which.get(i).intValue());
        }
        bytes.putShort(start + 1, (short) (bytes.position() - start - SECTION));
    }

    ByteBuffer done() {
        bytes.putInt(checksum(bytes.array(), bytes.position()));
        return bytes.flip();
    }

    private static int checksum(byte[] array, int length) {
        CRC32C crc = new CRC32C();
        crc.update(array, 0, length);
        return (int) crc.getValue();
    }

    static Read read(ByteBuffer from) throws Unreadable {
        byte[] array = new byte[from.remaining()];
        from.get(array);
        ByteBuffer in = ByteBuffer.wrap(array);
        try {
            if (in.getShort() != MAGICS) {
                throw new Unreadable(Refusal.FOREIGN);
            }
            if (array.length < 8 || checksum(array, array.length - CHECKSUM)
                != ByteBuffer.wrap(array).getInt(array.length - CHECKSUM)) {
                throw new Unreadable(Refusal.CHECKSUM);
            }
            in.limit(array.length - CHECKSUM);
            if (in.get() > VERSION) {
                throw new Unreadable(Refusal.NEWER);
            }
            Kind kind = Kind.values()[in.get()];
            int sender = in.getInt();
            Head head = new Head(kind, sender, number(in), in.getInt(), in.getInt(), in.get() != 0,
                in.getInt(), in.getInt(), in.getInt());
            List<Entry> entries = new ArrayList<>();
            List<Word> words = new ArrayList<>();
            while (in.hasRemaining()) {
                byte tag = in.get();
                ByteBuffer section = in.slice(in.position() + 2, in.getShort() & 0xffff);
                in.position(in.position() + section.limit());
                if (tag == ENTRIES) {
                    while (section.hasRemaining()) {
                        entries.add(new Entry(section.getInt(), MemberState.values()[section.get()],
                            number(section), section.getInt()));
                    }
                } else if (tag == WORDS) {
                    words(section, words);
                } // sections of later versions are skipped
            }
            return new Read(head, entries, words);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new Unreadable(Refusal.CUT);
        }
    }

    private static void words(ByteBuffer in, List<Word> words) {
        int[] lists = new int[in.get()];
        byte[][] marks = new byte[lists.length][];
        for (int i = 0; i < lists.length; i++) {
            lists[i] = in.getInt();
            int length = in.getShort() & 0xffff;
            if (length > in.remaining()) {
                throw new BufferUnderflowException(); // checked before the allocation
            }
            marks[i] = new byte[length];
            in.get(marks[i]);
        }
        while (in.hasRemaining()) {
            int id = in.getInt();
            long incarnation = number(in), beat = number(in), age = Math.min(number(in), LONGEST_AGE) * 1000;
            int which = in.get();
            words.add(new Word(id, incarnation, beat, age, lists[which], marks[which]));
        }
    }

    /** Rounds up: an age must never be understated. */
    private static long millis(long age) {
        return (age + 999) / 1000;
    }

    private static int length(long value) {
        return Math.max(1, (64 - Long.numberOfLeadingZeros(value) + 6) / 7);
    }

    /** Writes a variable-length integer: seven bits per byte, low bits first. */
    private static void number(ByteBuffer out, long value) {
        long left = value;
        while (left > 0x7f) {
            out.put((byte) (left | 0x80));
            left >>>= 7;
        }
        out.put((byte) left);
    }

    private static long number(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 56; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 0x7f) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new BufferUnderflowException();
    }
}
