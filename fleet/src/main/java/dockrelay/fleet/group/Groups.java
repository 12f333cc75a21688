package dockrelay.fleet.group;

import dockrelay.fleet.Membership;
import dockrelay.fleet.Pace;
import dockrelay.fleet.Row;
import dockrelay.fleet.Standing;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One member's view of a fleet in groups: every member of its own group, of the others what they say of
 * themselves. All times are microseconds of elapsed time, handed in.
 */
public class Groups {
    /** What the machine has done. */
    public interface Actions extends Membership.Actions {
        /** What became of a question for a name: null where nobody who may know has answered. */
        void found(String name, Row row);
    }

    private final Membership own;
    private final String self;
    private final Actions actions;
    private Grouping grouping;

    public Groups(String self, Grouping grouping, long incarnation, int life, Pace pace, Random random,
                  Actions actions, long now) {
        this.self = self;
        this.grouping = grouping;
        this.actions = actions;
        this.own = new Membership(self, names(grouping), incarnation, life, pace, random, actions, now);
    }

    private List<String> names(Grouping of) {
        int group = of.groupOf(self);
        if (group < 0) {
            throw new IllegalArgumentException("the own name \"" + self + "\" is not among the members");
        }
        return of.names(group);
    }

    /** Goes by another list; what is known of those on both is kept. */
    public void configure(long now, Grouping next) {
        List<String> names = names(next);
        grouping = next;
        own.configure(now, names);
    }

    /** When the next tick is due. */
    public long nextAt() {
        return own.nextAt();
    }

    /** Does all that is due. */
    public void tick(long now) {
        own.tick(now);
    }

    /** What a peer sent, by the name that its address has here; null where it has none. */
    public void receive(long now, String from, ByteBuffer datagram) {
        own.receive(now, from, datagram);
    }

    /** Says goodbye. */
    public void leave(long now) {
        own.leave(now);
    }

    /** What this member may go by now, of the whole fleet. */
    public Standing standing(long now) {
        return own.standing(now);
    }

    /** The members of the own group in order, as an operator is told of them. */
    public List<Row> rows(long now) {
        return own.rows(now);
    }

    /** All groups in order, as an operator is told of them. */
    public List<GroupRow> groups(long now) {
        Standing here = own.standing(now);
        return List.of(new GroupRow(grouping.label(0), here.configured(), here.present(), 0, 0,
            here.members(), here.agreement(), 0, true, true, self));
    }

    /** Whether this member speaks for its group. */
    public boolean speaker() {
        return false;
    }

    /** Equal where two members of a group see the same ones of it. */
    public String digest() {
        return own.digest();
    }

    /** How far this member doubts itself, 0 to 8. */
    public int health() {
        return own.health();
    }

    /** Datagrams that were not taken, by reason, since the last call. */
    public Map<String, Long> refused() {
        return own.refused();
    }

    /** Asks for a member by name; it is told by {@link Actions#found}. */
    public void find(long now, String name) {
        actions.found(name, own.rows(now).stream().filter(row -> row.name().equals(name)).findFirst()
            .orElse(null));
    }

    /** Whether these bytes are meant for this machine rather than somebody else on the same socket. */
    public static boolean ours(byte first) {
        return Membership.ours(first) || first == (byte) 0xd7;
    }
}
