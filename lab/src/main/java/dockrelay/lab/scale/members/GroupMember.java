package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.Change;
import dockrelay.fleet.Pace;
import dockrelay.fleet.Row;
import dockrelay.fleet.Standing;
import dockrelay.fleet.group.GroupException;
import dockrelay.fleet.group.Grouping;
import dockrelay.fleet.group.Groups;
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
            groups.put("size", Grouping.USUAL_SIZE);
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
    private static final Map<Layout, Grouping> GROUPINGS = new WeakHashMap<>();

    private final Groups machine;

    private GroupMember(String self, Layout layout, long incarnation, Random random, Actions actions,
                        long now) {
        machine = new Groups(self, grouping(layout), incarnation, random.nextInt() | 1, Pace.USUAL, random,
            new Groups.Actions() {
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

                @Override
                public void found(String name, Row row) {
                    // nobody asks
                }
            }, now);
    }

    static synchronized Grouping grouping(Layout layout) {
        return GROUPINGS.computeIfAbsent(layout, of -> Grouping.of(of.zones(), Grouping.USUAL_SIZE));
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
        machine.configure(now, grouping(layout));
    }
}
