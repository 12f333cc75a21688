package dockrelay.fleet.budget;

import dockrelay.fleet.wire.WireFormat;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A message of the budget protocol. On the wire: magic, schema, kind, sender, the sender's instance
 * id, the instance id of the addressee, term, number, the fields of the kind, and a checksum.
 * docs/budgets.md describes the format.
 */
record Message(Kind kind, int sender, int life, int to, long term, long number, long version, long clock,
               boolean yes, int keeper, Agreed agreed, Agreed next, List<Line> lines) {
    static final byte MAGIC = (byte) 0xd6;
    static final int LONGEST = 1400, MOST_LINES = 32, MOST_NAMES = 128;
    private static final byte SECOND = 0x62, SCHEMA = 1;

    /**
     * The first two request and grant leases, the others serve the election; the order is the wire
     * format.
     */
    enum Kind { ASK, GRANT, REDIRECT, CANVASS, RENEW, VOTE, RESIGN, LEAVE }

    /**
     * The figures of one budget. {@code extra} is the number of waiting requests in a lease request,
     * and the tokens to add once in a grant.
     */
    record Line(int budget, long rate, long burst, long wanted, long extra) {
    }

    /** A datagram that could not be decoded; the message is the reason under which it is counted. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String why) {
            super(why, null, false, false);
        }
    }

    static Message plain(Kind kind, int sender, int life, int to, long term, long number) {
        return new Message(kind, sender, life, to, term, number, 0, 0, false, 0, null, null, List.of());
    }

    ByteBuffer bytes() {
        ByteBuffer out = ByteBuffer.allocate(LONGEST);
        out.put(MAGIC).put(SECOND).put(SCHEMA).put((byte)
            kind.ordinal()).putInt(sender).putInt(life).putInt(to);
        WireFormat.putVarint(out, term);
        WireFormat.putVarint(out, number);
        WireFormat.putVarint(out, version);
        WireFormat.putVarint(out, clock);
        out.put((byte) ((yes ? 1 : 0) | (agreed == null ? 0 : 2) | (next == null ? 0 : 4))).putInt(keeper);
        put(out, agreed);
        put(out, next);
        WireFormat.putVarint(out, lines.size());
        for (Line line : lines) {
            out.putInt(line.budget);
            WireFormat.putVarint(out, line.rate);
            WireFormat.putVarint(out, line.burst);
            WireFormat.putVarint(out, line.wanted);
            WireFormat.putVarint(out, line.extra);
        }
        return WireFormat.appendChecksum(out);
    }

    private static void put(ByteBuffer out, Agreed list) {
        if (list != null) {
            WireFormat.putVarint(out, list.term());
            WireFormat.putVarint(out, list.number());
            WireFormat.putVarint(out, list.ids().length);
            for (int id : list.ids()) {
                out.putInt(id);
            }
        }
    }

    private static Agreed agreed(ByteBuffer in) throws Unreadable {
        long term = WireFormat.getVarint(in), number = WireFormat.getVarint(in);
        int[] ids = new int[bounded(in, MOST_NAMES)];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = in.getInt();
        }
        return new Agreed(term, number, ids);
    }

    /**
     * Reads a count and rejects large ones, so that a forged datagram cannot make this process allocate
     * much memory.
     */
    private static int bounded(ByteBuffer in, int most) throws Unreadable {
        long count = WireFormat.getVarint(in);
        if (count > most) {
            throw new Unreadable("too-many");
        }
        return (int) count;
    }

    static Message read(ByteBuffer from) throws Unreadable {
        ByteBuffer in = WireFormat.verifyChecksum(from);
        if (in == null) {
            throw new Unreadable("checksum");
        }
        try {
            if (in.get() != MAGIC || in.get() != SECOND) {
                throw new Unreadable("foreign");
            }
            if (in.get() != SCHEMA) {
                throw new Unreadable("newer");
            }
            int kind = in.get();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new Unreadable("unknown");
            }
            int sender = in.getInt(), life = in.getInt(), to = in.getInt();
            long term = WireFormat.getVarint(in), number = WireFormat.getVarint(in), version = WireFormat.getVarint(in);
            long clock = WireFormat.getVarint(in);
            int flags = in.get();
            int keeper = in.getInt();
            Agreed agreed = (flags & 2) == 0 ? null : agreed(in);
            Agreed next = (flags & 4) == 0 ? null : agreed(in);
            List<Line> lines = new ArrayList<>();
            for (int left = bounded(in, MOST_LINES); left > 0; left--) {
                lines.add(new Line(in.getInt(), WireFormat.getVarint(in), WireFormat.getVarint(in), WireFormat.getVarint(in),
                    WireFormat.getVarint(in)));
            }
            return new Message(Kind.values()[kind], sender, life, to, term, number, version, clock,
                (flags & 1) != 0, keeper, agreed, next, lines);
        } catch (BufferUnderflowException e) {
            throw new Unreadable("cut");
        }
    }
}
