package dockrelay.fleet.group;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.wire.WireFormat;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

/** Encodes a datagram of the protocol between groups, section by section, within the maximum size. */
final class Writer {
    static final int LONGEST = 1400;
    private static final int CHECKSUM = 4, SECTION = 3, MOST_DIFFERING = 8, MOST_DISTINCT = 255;
    /**
     * Bitmaps whose ages lie in the same range of this many units are sent together with the highest age; and
     * the maximum size in bytes of an entry for a single group.
     */
    private static final int ALIKE_AGES = 64, MOST_OF_ONE = 5;
    /** The maximum encoded size of a table row and of a summary in bytes. */
    private static final int LONGEST_ROW = 3 + 1 + 12 + 5 * 3 + 4, LONGEST_SUMMARY = 17 + 5 * 3 + 4 + 1
        + 4 * Speakers.MOST;

    private final ByteBuffer out = ByteBuffer.allocate(LONGEST);
    private int start = -1;

    Writer(Message.Kind kind, int sender, int list, int sequence) {
        out.put(Message.MAGIC).put(Message.SECOND).put(Message.VERSION).put((byte) kind.ordinal())
            .putInt(sender).putInt(list).putInt(sequence);
    }

    private int room() {
        return out.remaining() - CHECKSUM - (start < 0 ? SECTION : 0);
    }

    private void begin(byte tag) {
        start = out.position();
        out.put(tag).putShort((short) 0);
    }

    private void end() {
        int length = out.position() - start - SECTION;
        if (length == 0) {
            out.position(start);
        } else {
            out.putShort(start + 1, (short) length);
        }
        start = -1;
    }

    Writer missing(List<Integer> keys) {
        begin(Message.MISSING);
        keys.forEach(out::putInt);
        end();
        return this;
    }

    Writer summary(Summary summary) {
        begin(Message.SUMMARY);
        put(summary);
        end();
        return this;
    }

    Writer silent(byte[] silent) {
        if (silent != null && silent.length <= room()) {
            begin(Message.SILENT);
            out.put(silent);
            end();
        }
        return this;
    }

    Writer relayed(List<Message.Aged> rows) {
        begin(Message.RELAYED);
        for (Message.Aged row : rows) {
            if (room() < LONGEST_SUMMARY + 6) {
                break;
            }
            WireFormat.putVarint(out, millis(row.age()));
            put(row.summary());
        }
        end();
        return this;
    }

    Writer since(int epoch, long version, boolean wantsSilent, boolean ownPart) {
        begin(Message.SINCE);
        out.putInt(epoch);
        WireFormat.putVarint(out, version);
        out.put((byte) ((wantsSilent ? Message.WANTS_SILENT : 0) + Message.READS_BRIEF
            + (ownPart ? Message.OWN_PART : 0)));
        end();
        return this;
    }

    Writer upTo(int epoch, long version, boolean more) {
        begin(Message.UP_TO);
        out.putInt(epoch);
        WireFormat.putVarint(out, version);
        out.put((byte) (more ? 1 : 0));
        end();
        return this;
    }

    Writer ages(byte[] ages) {
        begin(Message.AGES);
        out.put(ages);
        end();
        return this;
    }

    /** Writes the number of groups, then each known age with its distance from the group before. */
    Writer ownAges(byte[] ages) {
        begin(Message.OWN_AGES);
        WireFormat.putVarint(out, ages.length);
        int before = -1;
        for (int group = 0; group < ages.length; group++) {
            if ((ages[group] & 0xff) != Message.NONE) {
                WireFormat.putVarint(out, group - before - 1);
                out.put(ages[group]);
                before = group;
            }
        }
        end();
        return this;
    }

    /**
     * Writes rows in order and returns how many fit, with {@code kept} bytes left for other sections. Counts
     * that follow from others are left out if {@code names} gives the number of names of each group; it is
     * null for a receiver that cannot read such rows.
     */
    int rows(List<Message.Told> rows, boolean keyed, int kept, IntUnaryOperator names) {
        begin(Message.ROWS);
        int written = 0;
        for (Message.Told row : rows) {
            if (room() - kept < LONGEST_ROW) {
                break;
            }
            written++;
            row(row, keyed, keyed || row.otherList() || names == null ? 0
                : follows(row, names.applyAsInt(row.index())));
        }
        end();
        return written;
    }

    private static int follows(Message.Told row, int names) {
        return (row.left() == 0 ? Message.NONE_LEFT : 0)
            + (row.present() == names - row.left() - row.gone() ? Message.REST_PRESENT : 0)
            + (row.counted() == row.present() ? Message.PRESENT_COUNT : 0)
            + (row.agreeing() == row.present() ? Message.PRESENT_AGREE : 0);
    }

    private void row(Message.Told row, boolean keyed, int follows) {
        WireFormat.putVarint(out, row.index());
        out.put((byte) (row.agreement().ordinal() + (keyed ? Message.KEYED : 0)
            + (row.otherList() ? Message.OTHER_LIST : 0) + follows));
        if (keyed) {
            out.putInt(row.key());
        }
        if (row.otherList()) {
            out.putInt(row.list());
        }
        if (keyed || row.otherList()) {
            out.putInt(row.hash());
        }
        count(row.present(), follows & Message.REST_PRESENT);
        count(row.left(), follows & Message.NONE_LEFT);
        WireFormat.putVarint(out, row.gone());
        count(row.counted(), follows & Message.PRESENT_COUNT);
        count(row.agreeing(), follows & Message.PRESENT_AGREE);
        if (keyed || row.otherList()) {
            out.putInt(row.speaker());
        } else {
            WireFormat.putVarint(out, row.speaker());
        }
    }

    private void count(int count, int follows) {
        if (follows == 0) {
            WireFormat.putVarint(out, count);
        }
    }

    /**
     * Writes bitmaps of unreachable groups in the compact format: groups with the same bitmap and similar
     * ages share one entry with the highest age. If few are equal, uses the format of {@link #silentTo}.
     */
    Writer silentAlike(List<Message.SilentTo> all) {
        Map<String, List<Message.SilentTo>> alike = new LinkedHashMap<>();
        for (Message.SilentTo each : all) {
            alike.computeIfAbsent(Arrays.toString(each.silent()) + each.age() / ALIKE_AGES, of
                -> new ArrayList<>()).add(each);
        }
        int length = all.isEmpty() ? 0 : all.get(0).silent().length;
        if (alike.size() * (1 + 2 * length) > all.size() * MOST_OF_ONE) {
            return silentTo(all);
        }
        begin(Message.SILENT_ALIKE);
        for (List<Message.SilentTo> of : alike.values()) {
            if (room() < 3 + 2 * length || of.get(0).silent().length != length) {
                continue;
            }
            if (out.position() == start + SECTION) {
                WireFormat.putVarint(out, length);
            }
            byte[] groups = new byte[length];
            int age = 0;
            for (Message.SilentTo each : of) {
                groups[each.group() / 8] |= (byte) (1 << each.group() % 8);
                age = Math.max(age, each.age());
            }
            out.put((byte) age).put(of.get(0).silent()).put(groups);
        }
        end();
        return this;
    }

    /** Writes as many bitmaps of unreachable groups as fit; each distinct bitmap is written once. */
    Writer silentTo(List<Message.SilentTo> all) {
        if (all.isEmpty()) {
            return this;
        }
        List<byte[]> distinct = new ArrayList<>();
        List<Message.SilentTo> taken = new ArrayList<>();
        List<Integer> which = new ArrayList<>();
        int length = all.get(0).silent().length, left = room() - 4;
        for (Message.SilentTo each : all) {
            int same = 0;
            while (same < distinct.size() && !Arrays.equals(distinct.get(same), each.silent())) {
                same++;
            }
            int cost = MOST_OF_ONE + (same == distinct.size() ? length : 0);
            if (cost > left || same == MOST_DISTINCT || each.silent().length != length) {
                continue;
            }
            left -= cost;
            if (same == distinct.size()) {
                distinct.add(each.silent());
            }
            taken.add(each);
            which.add(same);
        }
        if (taken.isEmpty()) {
            return this;
        }
        begin(Message.SILENT_TO);
        WireFormat.putVarint(out, length);
        out.put((byte) distinct.size());
        distinct.forEach(out::put);
        for (int i = 0; i < taken.size(); i++) {
            WireFormat.putVarint(out, taken.get(i).group());
            out.put((byte) taken.get(i).age()).put((byte) (int) which.get(i));
        }
        end();
        return this;
    }

    Writer name(String name) {
        begin(Message.NAME);
        text(name);
        end();
        return this;
    }

    Writer member(MemberStatus row) {
        begin(Message.MEMBER);
        text(row.name());
        out.put((byte) row.state().ordinal());
        WireFormat.putVarint(out, Math.max(0, row.stateAge()) / 1000);
        text(row.reportedBy());
        WireFormat.putVarint(out, row.incarnation());
        WireFormat.putVarint(out, row.reportAge() < 0 ? 0 : millis(row.reportAge()) + 1);
        out.put((byte) (row.sameMemberList() ? 1 : 0));
        WireFormat.putVarint(out, row.disagreementAge() < 0 ? 0 : row.disagreementAge() / 1000 + 1);
        row.differingMembers().stream().limit(MOST_DIFFERING).forEach(this::text);
        end();
        return this;
    }

    private void put(Summary summary) {
        out.putInt(summary.key()).putInt(summary.list()).putInt(summary.hash()).putInt(summary.view())
            .put((byte) summary.agreement().ordinal());
        WireFormat.putVarint(out, summary.present());
        WireFormat.putVarint(out, summary.left());
        WireFormat.putVarint(out, summary.gone());
        WireFormat.putVarint(out, summary.counted());
        WireFormat.putVarint(out, summary.agreeing());
        out.putInt(summary.by()).put((byte) summary.speakers().length);
        for (int speaker : summary.speakers()) {
            out.putInt(speaker);
        }
    }

    private void text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.put((byte) bytes.length).put(bytes);
    }

    /** Rounds up: an age must never be understated. */
    private static long millis(long age) {
        return (age + 999) / 1000;
    }

    ByteBuffer done() {
        return WireFormat.appendChecksum(out);
    }
}
