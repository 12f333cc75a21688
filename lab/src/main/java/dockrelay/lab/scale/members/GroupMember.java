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

/** Groups within zones: each known singly in its own group, the others by what they say of themselves. */
final class GroupMember implements HollowMember {
    static final Kind KIND = new Kind() {
        @Override
        public String name() {
            return "groups";
        }

        @Override
        public HollowMember make(String self, Layout layout, long incarnation, Random random, Actions actions,
                                 long now) {
            return new GroupMember(self, layout, incarnation, random, actions, now);
        }

        @Override
        public int group(Layout layout, String name) {
            return grouping(layout).groupOf(name);
        }

        @Override
        public void configure(ObjectNode configuration, Layout layout) {
            ObjectNode groups = configuration.putObject("peer_groups"), zones = groups.putObject("zones");
            groups.put("size", GroupAssignment.DEFAULT_GROUP_SIZE);
            layout.zones().forEach((zone, names) -> names.forEach(zones.putArray(zone)::add));
        }

        @Override
        public String refuses(Layout layout) {
            try {
                grouping(layout);
                return null;
            } catch (GroupException e) {
                return e.getMessage();
            }
        }
    };

    /** The same for all who were given the same list: one object for all of them in this process. */
    private static final Map<Layout, GroupAssignment> GROUPINGS = new WeakHashMap<>();

    private final GroupedMembership machine;

    private GroupMember(String self, Layout layout, long incarnation, Random random, Actions actions,
                        long now) {
        machine = new GroupedMembership(self, grouping(layout), incarnation, random.nextInt() | 1, ProtocolTiming.DEFAULT, random,
            new GroupedMembership.Callbacks() {
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

                @Override
                public void memberLookupCompleted(String name, MemberStatus row) {
                    // nobody asks
                }
            }, now);
    }

    static synchronized GroupAssignment grouping(Layout layout) {
        return GROUPINGS.computeIfAbsent(layout, of -> GroupAssignment.of(of.zones(), GroupAssignment.DEFAULT_GROUP_SIZE));
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
        machine.configure(now, grouping(layout));
    }
}
