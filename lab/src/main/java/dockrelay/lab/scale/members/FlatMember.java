package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.Membership;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberList;
import dockrelay.fleet.MembershipSnapshot;
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
                new MemberList(layout.names());
                return null;
            } catch (IllegalArgumentException e) {
                return e.getMessage();
            }
        }
    };

    private final Membership machine;

    private FlatMember(String self, Layout layout, long incarnation, Random random, Actions actions,
                       long now) {
        machine = new Membership(self, layout.names(), incarnation, random.nextInt() | 1, ProtocolTiming.DEFAULT, random,
            new Membership.Callbacks() {
                @Override
                public void send(String to, ByteBuffer datagram) {
                    actions.send(to, datagram);
                }

                @Override
                public void memberChanged(MemberStateChange change) {
                    actions.changed(change);
                }

                @Override
                public void incarnationChanged(long own) {
                    // a hollow process starts anew well above what it had
                }

                @Override
                public void nameConflict(String name, String why) {
                    throw new IllegalStateException("two processes go by " + name + ": " + why);
                }
            }, now);
    }

    @Override
    public long nextAt() {
        return machine.nextTickAt();
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
    public MembershipSnapshot standing(long now) {
        return machine.snapshot(now);
    }

    @Override
    public String digest() {
        return machine.digest();
    }

    @Override
    public int known(long now) {
        return machine.memberStatuses(now).size();
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
