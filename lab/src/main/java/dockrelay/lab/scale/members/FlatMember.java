package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.Membership;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberList;
import dockrelay.fleet.MembershipSnapshot;
import java.nio.ByteBuffer;
import java.util.Random;

/** A member of one flat membership, in which each member tracks every other one individually. */
final class FlatMember implements HollowMember {
    static final Variant VARIANT = new Variant() {
        @Override
        public String name() {
            return "flat";
        }

        @Override
        public HollowMember create(String self, Layout layout, long incarnation, Random random,
            Callbacks callbacks, long now) {
            return new FlatMember(self, layout, incarnation, random, callbacks, now);
        }

        @Override
        public int groupOf(Layout layout, String name) {
            return 0;
        }

        @Override
        public void addSettings(ObjectNode settings, Layout layout) {
            // a flat membership needs names and addresses only
        }

        @Override
        public String refusalReason(Layout layout) {
            try {
                new MemberList(layout.names());
                return null;
            } catch (IllegalArgumentException e) {
                return e.getMessage();
            }
        }
    };

    private final Membership membership;

    private FlatMember(String self, Layout layout, long incarnation, Random random, Callbacks callbacks,
                       long now) {
        membership = new Membership(self, layout.names(), incarnation, random.nextInt() | 1,
            ProtocolTiming.DEFAULT, random, new Membership.Callbacks() {
                @Override
                public void send(String receiver, ByteBuffer datagram) {
                    callbacks.send(receiver, datagram);
                }

                @Override
                public void memberChanged(MemberStateChange change) {
                    callbacks.memberChanged(change);
                }

                @Override
                public void incarnationChanged(long newIncarnation) {
                    // not stored: a restarted hollow process gets a far higher incarnation anyway
                }

                @Override
                public void nameConflict(String name, String reason) {
                    throw new IllegalStateException("two processes use the name " + name + ": " + reason);
                }
            }, now);
    }

    @Override
    public long nextTickAt() {
        return membership.nextTickAt();
    }

    @Override
    public void tick(long now) {
        membership.tick(now);
    }

    @Override
    public void receive(long now, String sender, ByteBuffer datagram) {
        membership.receive(now, sender, datagram);
    }

    @Override
    public MembershipSnapshot snapshot(long now) {
        return membership.snapshot(now);
    }

    @Override
    public String digest() {
        return membership.digest();
    }

    @Override
    public int trackedMemberCount(long now) {
        return membership.memberStatuses(now).size();
    }

    @Override
    public void leave(long now) {
        membership.leave(now);
    }

    @Override
    public void configure(long now, Layout layout) {
        membership.configure(now, layout.names());
    }
}
