package dockrelay.fleet.group;

import dockrelay.fleet.Row;
import dockrelay.fleet.wire.Numbers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Writes a datagram, section after section, as long as there is room. */
final class Writer {
    static final int LONGEST = 1400;
    private static final int CHECKSUM = 4, SECTION = 3, MOST_DIFFERING = 8, MOST_DISTINCT = 255;
    /** The most that a row of a table, or a summary, takes. */
    private static final int LONGEST_ROW = 3 + 1 + 12 + 5 * 3 + 4, LONGEST_SUMMARY = 17 + 5 * 3 + 4 + 1 + 12;

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
            Numbers.put(out, millis(row.age()));
            put(row.summary());
        }
        end();
        return this;
    }

    Writer since(int epoch, long version, boolean speaker) {
        begin(Message.SINCE);
        out.putInt(epoch);
        Numbers.put(out, version);
        out.put((byte) (speaker ? 1 : 0));
        end();
        return this;
    }

    Writer upTo(int epoch, long version, boolean more) {
        begin(Message.UP_TO);
        out.putInt(epoch);
        Numbers.put(out, version);
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

    /** Rows in their order; returns how many there was room for beside so many bytes. */
    int rows(List<Message.Told> rows, boolean keyed, int kept) {
        begin(Message.ROWS);
        int written = 0;
        for (Message.Told row : rows) {
            if (room() - kept < LONGEST_ROW) {
                break;
            }
            written++;
            Numbers.put(out, row.index());
            out.put((byte) (row.agreement().ordinal() + (keyed ? Message.KEYED : 0)
                + (row.otherList() ? Message.OTHER_LIST : 0)));
            if (keyed) {
                out.putInt(row.key());
            }
            if (row.otherList()) {
                out.putInt(row.list());
            }
            if (keyed || row.otherList()) {
                out.putInt(row.hash());
            }
            Numbers.put(out, row.present());
            Numbers.put(out, row.left());
            Numbers.put(out, row.gone());
            Numbers.put(out, row.counted());
            Numbers.put(out, row.agreeing());
            if (keyed || row.otherList()) {
                out.putInt(row.speaker());
            } else {
                Numbers.put(out, row.speaker());
            }
        }
        end();
        return written;
    }

    /** Many groups hear nothing of the same ones: those are written once. As many as fit. */
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
            int cost = 5 + (same == distinct.size() ? length : 0);
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
        Numbers.put(out, length);
        out.put((byte) distinct.size());
        distinct.forEach(out::put);
        for (int i = 0; i < taken.size(); i++) {
            Numbers.put(out, taken.get(i).group());
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

    Writer member(Row row) {
        begin(Message.MEMBER);
        text(row.name());
        out.put((byte) row.state().ordinal());
        Numbers.put(out, Math.max(0, row.since()) / 1000);
        text(row.by());
        Numbers.put(out, row.incarnation());
        Numbers.put(out, row.wordAge() < 0 ? 0 : millis(row.wordAge()) + 1);
        out.put((byte) (row.sameList() ? 1 : 0));
        Numbers.put(out, row.differsFor() < 0 ? 0 : row.differsFor() / 1000 + 1);
        row.differsIn().stream().limit(MOST_DIFFERING).forEach(this::text);
        end();
        return this;
    }

    private void put(Summary summary) {
        out.putInt(summary.key()).putInt(summary.list()).putInt(summary.hash()).putInt(summary.view())
            .put((byte) summary.agreement().ordinal());
        Numbers.put(out, summary.present());
        Numbers.put(out, summary.left());
        Numbers.put(out, summary.gone());
        Numbers.put(out, summary.counted());
        Numbers.put(out, summary.agreeing());
        out.putInt(summary.by()).put((byte) summary.speakers().length);
        for (int speaker : summary.speakers()) {
            out.putInt(speaker);
        }
    }

    private void text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.put((byte) bytes.length).put(bytes);
    }

    /** Rounded up: an age is never under-stated. */
    private static long millis(long age) {
        return (age + 999) / 1000;
    }

    ByteBuffer done() {
        return Numbers.seal(out);
    }
}
