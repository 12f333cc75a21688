package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.Change;
import dockrelay.fleet.Membership;
import dockrelay.fleet.Pace;
import dockrelay.fleet.Roster;
import dockrelay.fleet.Standing;
import java.nio.ByteBuffer;
import java.util.Random;

/** All names in one membership, each known singly to each. */
final class FlatMember implements HollowMember {
    static final Kind KIND = new Kind() {
        @Override
        public String name() {
            return "flat";
        }

        @Override
        public HollowMember make(String self, Layout layout, long incarnation, Random random, Actions actions,
                                 long now) {
            return new FlatMember(self, layout, incarnation, random, actions, now);
        }

        @Override
        public int group(Layout layout, String name) {
            return 0;
        }

        @Override
        public void configure(ObjectNode configuration, Layout layout) {
            // names and addresses are all
        }

        @Override
        public String refuses(Layout layout) {
            try {
                new Roster(layout.names());
                return null;
            } catch (IllegalArgumentException e) {
                return e.getMessage();
            }
        }
    };

    private final Membership machine;

    private FlatMember(String self, Layout layout, long incarnation, Random random, Actions actions,
                       long now) {
        machine = new Membership(self, layout.names(), incarnation, random.nextInt() | 1, Pace.USUAL, random,
            new Membership.Actions() {
                @Override
                public void send(String to, ByteBuffer datagram) {
                    actions.send(to, datagram);
                }

                @Override
                public void changed(Change change) {
                    actions.changed(change);
                }

                @Override
                public void incarnation(long own) {
                    // a hollow process starts anew well above what it had
                }

                @Override
                public void clash(String name, String why) {
                    throw new IllegalStateException("two processes go by " + name + ": " + why);
                }
            }, now);
    }

    @Override
    public long nextAt() {
        return machine.nextAt();
    }

    @Override
    public void tick(long now) {
        machine.tick(now);
    }

    @Override
    public void receive(long now, String from, ByteBuffer datagram) {
        machine.receive(now, from, datagram);
    }

    @Override
    public Standing standing(long now) {
        return machine.standing(now);
    }

    @Override
    public String digest() {
        return machine.digest();
    }

    @Override
    public int known(long now) {
        return machine.rows(now).size();
    }

    @Override
    public void leave(long now) {
        machine.leave(now);
    }

    @Override
    public void configure(long now, Layout layout) {
        machine.configure(now, layout.names());
    }
}
