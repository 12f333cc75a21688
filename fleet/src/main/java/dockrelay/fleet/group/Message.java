package dockrelay.fleet.group;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.wire.WireFormat;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

/** A decoded datagram of the protocol between groups; docs/membership.md has the format. */
final class Message {
    static final byte MAGIC = (byte) 0xd7, SECOND = 0x52, VERSION = 1;
    /** Section tags; sections with other tags are skipped. */
    static final byte MISSING = 1, SUMMARY = 2, SILENT = 3, RELAYED = 4, SINCE = 5, UP_TO = 6, AGES = 7,
        ROWS = 8, SILENT_TO = 9, NAME = 10, MEMBER = 11, SILENT_ALIKE = 12, OWN_AGES = 13;
    /** Flags of a table row beside its agreement: it has a key; its list differs from the sender's. */
    static final int AGREEMENT = 3, KEYED = 4, OTHER_LIST = 8;
    /**
     * Flags of counts that a table row leaves out, as they follow from others: no member left, all others not
     * gone are present, all present members are counted, all present members agree.
     */
    static final int NONE_LEFT = 16, REST_PRESENT = 32, PRESENT_COUNT = 64, PRESENT_AGREE = 128;
    /** Stands for a count that was left out. */
    static final int FOLLOWS = -1;
    /**
     * Flags of a table query: the asker wants to know which groups are unreachable to whom; it can read the
     * compact formats; it queries all representatives, and wants from each only what that one queried itself.
     */
    static final int WANTS_SILENT = 1, READS_BRIEF = 2, OWN_PART = 4;
    /** Ages in units of {@link Rhythm#unit}; the highest values are special. */
    static final int OLDEST = 252, NONE = 253, OLD = 254, OUT = 255;

    private static final long LONGEST_AGE = 1L << 40;
    private static final int MOST_GROUPS = 4096;

    /** Queries and replies about a group itself, the table of all groups, and a single member. */
    enum Kind { ASK_GROUP, TELL_GROUP, ASK_TABLE, TELL_TABLE, ASK_NAME, TELL_NAME }

    /** Why a datagram was rejected; the names are the same as those within a group. */
    enum Refusal { CUT, FOREIGN, CHECKSUM, NEWER, STRANGER, MISNAMED }

    /** Thrown if a datagram cannot be decoded. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;
        final transient Refusal refusal;

        Unreadable(Refusal refusal) {
            super(refusal.name(), null, false, false);
            this.refusal = refusal;
        }
    }

    /** A relayed summary of a third group with its maximum age in microseconds. */
    record Aged(Summary summary, long age) {
    }

    /**
     * A changed row of a table. The key is 0 if sender and receiver have the same list, so that the index
     * identifies the group. Such a row may leave out counts that follow from others and from the group's
     * size.
     */
    record Told(int index, int key, boolean otherList, int list, int hash, int present, int left, int gone,
                int counted, Agreement agreement, int agreeing, int speaker) {
        /** Returns the row with all counts filled in, for a group of this many names. */
        Told whole(int names) {
            int none = left == FOLLOWS ? 0 : left;
            int there = present == FOLLOWS ? Math.max(0, names - none - gone) : present;
            return new Told(index, key, otherList, list, hash, there, none, gone,
                counted == FOLLOWS ? there : counted, agreement, agreeing == FOLLOWS ? there : agreeing,
                speaker);
        }
    }

    /**
     * The set of groups that are unreachable to a group, as a bitmap, and the maximum age of that report in
     * units of {@link Rhythm#unit}. Groups are in the order of the sender's list.
     */
    record SilentTo(int group, byte[] silent, int age) {
    }

    Kind kind;
    int sender, list, sequence;
    final List<Integer> missing = new ArrayList<>();
    Summary summary;
    byte[] silent;
    final List<Aged> relayed = new ArrayList<>();
    int epoch;
    long version;
    boolean wantsSilent, readsBrief, ownPart, more; // flags of a table query or reply
    byte[] ages;
    final List<Told> rows = new ArrayList<>();
    final List<SilentTo> silentTo = new ArrayList<>();
    String name;
    MemberStatus member;

    private Message() {
    }

    static Message read(ByteBuffer from) throws Unreadable {
        if (from.remaining() < 2 || from.get(from.position()) != MAGIC
            || from.get(from.position() + 1) != SECOND) {
            throw new Unreadable(Refusal.FOREIGN);
        }
        ByteBuffer in = WireFormat.verifyChecksum(from);
        if (in == null) {
            throw new Unreadable(Refusal.CHECKSUM);
        }
        try {
            in.getShort();
            if (in.get() > VERSION) {
                throw new Unreadable(Refusal.NEWER);
            }
            Message message = new Message();
            message.kind = Kind.values()[in.get()];
            message.sender = in.getInt();
            message.list = in.getInt();
            message.sequence = in.getInt();
            while (in.hasRemaining()) {
                byte tag = in.get();
                int length = in.getShort() & 0xffff;
                ByteBuffer section = in.slice(in.position(), length);
                in.position(in.position() + length);
                message.section(tag, section);
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new Unreadable(Refusal.CUT);
        }
    }

    private void section(byte tag, ByteBuffer in) {
        switch (tag) {
            case MISSING -> {
                while (in.hasRemaining()) {
                    missing.add(in.getInt());
                }
            }
            case SUMMARY -> summary = summary(in);
            case SILENT -> silent = bytes(in, in.remaining());
            case RELAYED -> {
                while (in.hasRemaining()) {
                    long age = Math.min(WireFormat.getVarint(in), LONGEST_AGE) * 1000;
                    relayed.add(new Aged(summary(in), age));
                }
            }
            case SINCE -> {
                epoch = in.getInt();
                version = WireFormat.getVarint(in);
                int flags = in.get();
                wantsSilent = (flags & WANTS_SILENT) != 0;
                readsBrief = (flags & READS_BRIEF) != 0;
                ownPart = (flags & OWN_PART) != 0;
            }
            case UP_TO -> {
                epoch = in.getInt();
                version = WireFormat.getVarint(in);
                more = in.get() != 0;
            }
            case AGES -> ages = bytes(in, in.remaining());
            case OWN_AGES -> {
                ages = ownAges(in);
                ownPart = true;
            }
            case ROWS -> {
                while (in.hasRemaining()) {
                    rows.add(told(in));
                }
            }
            case SILENT_TO -> silentTo(in);
            case SILENT_ALIKE -> silentAlike(in);
            case NAME -> name = text(in);
            case MEMBER -> member = member(in);
            default -> { } // a section of a later version
        }
    }

    private static byte[] ownAges(ByteBuffer in) {
        int groups = number(in);
        if (groups > MOST_GROUPS) {
            throw new IllegalArgumentException("table of " + groups + " groups is too large");
        }
        byte[] ages = new byte[groups];
        Arrays.fill(ages, (byte) NONE);
        for (int group = -1; in.hasRemaining();) {
            group += 1 + number(in);
            ages[group] = in.get();
        }
        return ages;
    }

    private Summary summary(ByteBuffer in) {
        int key = in.getInt(), theirs = in.getInt(), hash = in.getInt(), view = in.getInt();
        Agreement agreement = Agreement.values()[in.get()];
        int present = number(in), left = number(in), gone = number(in), counted = number(in);
        int agreeing = number(in), by = in.getInt();
        int[] speakers = new int[Math.min(in.get(), in.remaining() / 4)];
        for (int i = 0; i < speakers.length; i++) {
            speakers[i] = in.getInt();
        }
        return new Summary(key, theirs, hash, view, present, left, gone, counted, agreement, agreeing,
            speakers, by);
    }

    private static Told told(ByteBuffer in) {
        int index = number(in), flags = in.get();
        boolean keyed = (flags & KEYED) != 0, other = (flags & OTHER_LIST) != 0;
        int key = keyed ? in.getInt() : 0;
        int list = other ? in.getInt() : 0;
        int hash = keyed || other ? in.getInt() : 0;
        int follows = keyed || other ? 0 : flags;
        int present = (follows & REST_PRESENT) != 0 ? FOLLOWS : number(in);
        int left = (follows & NONE_LEFT) != 0 ? FOLLOWS : number(in);
        int gone = number(in);
        int counted = (follows & PRESENT_COUNT) != 0 ? FOLLOWS : number(in);
        int agreeing = (follows & PRESENT_AGREE) != 0 ? FOLLOWS : number(in);
        return new Told(index, key, other, list, hash, present, left, gone, counted,
            Agreement.values()[flags & AGREEMENT], agreeing, keyed || other ? in.getInt() : number(in));
    }

    private void silentTo(ByteBuffer in) {
        int length = number(in);
        byte[][] distinct = new byte[in.get() & 0xff][];
        for (int i = 0; i < distinct.length; i++) {
            distinct[i] = bytes(in, length);
        }
        while (in.hasRemaining()) {
            int group = number(in);
            int age = in.get() & 0xff;
            silentTo.add(new SilentTo(group, distinct[in.get() & 0xff], age));
        }
    }

    private void silentAlike(ByteBuffer in) {
        int length = number(in);
        while (in.hasRemaining()) {
            int age = in.get() & 0xff;
            byte[] silent = bytes(in, length);
            BitSet groups = BitSet.valueOf(bytes(in, length));
            groups.stream().forEach(group -> silentTo.add(new SilentTo(group, silent, age)));
        }
    }

    private static MemberStatus member(ByteBuffer in) {
        String name = text(in);
        MemberState state = MemberState.values()[in.get()];
        long since = Math.min(WireFormat.getVarint(in), LONGEST_AGE) * 1000;
        String by = text(in);
        long incarnation = WireFormat.getVarint(in), wordAge = Math.min(WireFormat.getVarint(in), LONGEST_AGE) - 1;
        boolean sameList = in.get() != 0;
        long differsFor = Math.min(WireFormat.getVarint(in), LONGEST_AGE) - 1;
        List<String> differsIn = new ArrayList<>();
        while (in.hasRemaining()) {
            differsIn.add(text(in));
        }
        return new MemberStatus(name, state, since, by, incarnation, wordAge < 0 ? -1 : wordAge * 1000, sameList,
            differsIn, differsFor < 0 ? -1 : differsFor * 1000);
    }

    private static int number(ByteBuffer in) {
        long value = WireFormat.getVarint(in);
        if (value < 0 || value > 1 << 20) {
            throw new IllegalArgumentException("count out of range: " + value);
        }
        return (int) value;
    }

    private static String text(ByteBuffer in) {
        return new String(bytes(in, in.get() & 0xff), StandardCharsets.UTF_8);
    }

    /** Reads bytes; checks the length before it allocates. */
    private static byte[] bytes(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] result = new byte[length];
        in.get(result);
        return result;
    }
}
