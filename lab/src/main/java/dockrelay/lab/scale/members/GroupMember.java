package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.group.GroupException;
import dockrelay.fleet.group.GroupAssignment;
import dockrelay.fleet.group.GroupedMembership;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Random;
import java.util.WeakHashMap;

/**
 * A member of a grouped membership: it tracks its own group individually and other groups by their reports.
 */
final class GroupMember implements HollowMember {
    static final Variant VARIANT = new Variant() {
        @Override
        public String name() {
            return "groups";
        }

        @Override
        public HollowMember create(String self, Layout layout, long incarnation, Random random,
            Callbacks callbacks, long now) {
            return new GroupMember(self, layout, incarnation, random, callbacks, now);
        }

        @Override
        public int groupOf(Layout layout, String name) {
            return assignment(layout).groupOf(name);
        }

        @Override
        public void addSettings(ObjectNode settings, Layout layout) {
            ObjectNode groups = settings.putObject("peer_groups"), zones = groups.putObject("zones");
            groups.put("size", GroupAssignment.DEFAULT_GROUP_SIZE);
            layout.zones().forEach((zone, names) -> names.forEach(zones.putArray(zone)::add));
        }

        @Override
        public String refusalReason(Layout layout) {
            try {
                assignment(layout);
                return null;
            } catch (GroupException e) {
                return e.getMessage();
            }
        }
    };

    /** Group assignments by layout, shared by all members of this process to save memory. */
    private static final Map<Layout, GroupAssignment> ASSIGNMENTS = new WeakHashMap<>();

    private final GroupedMembership membership;

    private GroupMember(String self, Layout layout, long incarnation, Random random, Callbacks callbacks,
                        long now) {
        membership = new GroupedMembership(self, assignment(layout), incarnation, random.nextInt() | 1,
            ProtocolTiming.DEFAULT, random, new GroupedMembership.Callbacks() {
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

                @Override
                public void memberLookupCompleted(String name, MemberStatus status) {
                    // hollow members look up no other members
                }
            }, now);
    }

    /** The group assignment of a layout; computed once for each layout. */
    static synchronized GroupAssignment assignment(Layout layout) {
        return ASSIGNMENTS.computeIfAbsent(layout, key -> GroupAssignment.of(key.zones(),
            GroupAssignment.DEFAULT_GROUP_SIZE));
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
        membership.configure(now, assignment(layout));
    }
}
