package dockrelay.fleet.group;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.group.GroupException.Code;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * Assigns the members of a fleet to groups, zone by zone. The result depends on the names alone, so all
 * members with the same list compute the same groups. Within a zone a name goes to the group with the
 * highest hash for it that is not full (rendezvous hashing): adding or removing a name moves hardly any
 * other, and adding or removing a group moves about one group's worth of names.
 */
public final class GroupAssignment {
    /**
     * The default target size is the smallest one with which groups, which vary in size, stay at or above the
     * minimum size.
     */
    public static final int DEFAULT_GROUP_SIZE = 48, MIN_GROUP_SIZE = 32, MAX_GROUP_SIZE = 128;
    private static final int MOST_NAMES = 16_384, LONGEST_NAME = 64;
    /** The per-group data of a table has to fit into one datagram. */
    private static final int MOST_GROUPS = 512;
    /** Upper and lower bound of a group's size, as multiples of the mean group size of its zone. */
    private static final double FULLEST = 1.2, EMPTIEST = 0.9;
    /** With a mean above this fraction of the maximum, a group could exceed the maximum by chance. */
    private static final double MOST_MEAN = 0.9;

    private final List<MemberList> rosters = new ArrayList<>();
    private final List<String> labels = new ArrayList<>();
    private final Map<String, Integer> byName = new HashMap<>();
    private final Map<Integer, Integer> byKey = new HashMap<>();
    private final int[] keys, before;
    private final int hash;

    private GroupAssignment(Map<String, ? extends Collection<String>> zones, int size, int least,
                     int most) {
        check(zones);
        CRC32C whole = new CRC32C();
        for (Map.Entry<String, ? extends Collection<String>> zone : new TreeMap<>(zones).entrySet()) {
            List<List<String>> groups = split(zone.getKey(), new TreeSet<>(zone.getValue()), size, least,
                most);
            for (int i = 0; i < groups.size(); i++) {
                String label = zone.getKey().isEmpty() ? Integer.toString(i + 1)
                    : zone.getKey() + "/" + (i + 1);
                if (byKey.put(MemberList.idOf(label), labels.size()) != null) {
                    throw new GroupException(Code.ALIKE, "zone", "\"" + zone.getKey() + "\"",
                        "it cannot be told from another one; rename it");
                }
                labels.add(label);
                apart(groups.get(i));
                MemberList roster = new MemberList(groups.get(i));
                rosters.add(roster);
                whole.update(label.getBytes(StandardCharsets.UTF_8));
                whole.update(0);
                for (String name : roster.names()) {
                    byName.put(name, labels.size() - 1);
                    whole.update(name.getBytes(StandardCharsets.UTF_8));
                    whole.update(0);
                }
            }
        }
        if (labels.size() > MOST_GROUPS) {
            throw new GroupException(Code.TOO_MANY, "number of groups", Integer.toString(labels.size()),
                "allowed are 1 to " + MOST_GROUPS + "; a zone is at least one");
        }
        hash = (int) whole.getValue();
        keys = labels.stream().mapToInt(MemberList::idOf).toArray();
        before = new int[rosters.size() + 1];
        for (int i = 0; i < rosters.size(); i++) {
            before[i + 1] = before[i] + rosters.get(i).size();
        }
    }

    /**
     * Assigns names to groups of about {@code size} members.
     *
     * @param zones the names by zone; a single zone "" if the configuration has no zones
     * @throws GroupException if the size, a zone or a name is invalid, or there are too many names or groups
     */
    public static GroupAssignment of(Map<String, ? extends Collection<String>> zones, int size) {
        if (size < MIN_GROUP_SIZE || size > MAX_GROUP_SIZE) {
            throw new GroupException(Code.SIZE, "group size", Integer.toString(size),
                "allowed are " + MIN_GROUP_SIZE + " to " + MAX_GROUP_SIZE);
        }
        return new GroupAssignment(zones, size, MIN_GROUP_SIZE, MAX_GROUP_SIZE);
    }

    /** As {@link #of}, but with any group size; for tests. */
    static GroupAssignment ofAnySize(Map<String, ? extends Collection<String>> zones, int size) {
        return new GroupAssignment(zones, size, 0, MOST_NAMES);
    }

    private void check(Map<String, ? extends Collection<String>> zones) {
        int names = 0;
        for (Map.Entry<String, ? extends Collection<String>> zone : zones.entrySet()) {
            if (zone.getKey().isBlank() && (zones.size() > 1 || !zone.getKey().isEmpty())) {
                throw new GroupException(Code.ZONE, "zone", "\"" + zone.getKey() + "\"",
                    "a zone beside others needs a name");
            }
            if (zone.getValue().isEmpty()) {
                throw new GroupException(Code.EMPTY, "zone", "\"" + zone.getKey() + "\" without a name in it",
                    "give it one or leave it out");
            }
            names += zone.getValue().size();
        }
        if (names == 0 || names > MOST_NAMES) {
            throw new GroupException(Code.TOO_MANY, "number of names", Integer.toString(names),
                "allowed are 1 to " + MOST_NAMES);
        }
        Map<String, String> zoneOf = new HashMap<>();
        zones.forEach((zone, in) -> in.forEach(name -> {
            int length = name.getBytes(StandardCharsets.UTF_8).length;
            if (length == 0 || length > LONGEST_NAME) {
                throw new GroupException(Code.NAME, "name", "\"" + name + "\" of " + length + " bytes",
                    "allowed are 1 to " + LONGEST_NAME);
            }
            String other = zoneOf.put(name, zone);
            if (other != null) {
                throw new GroupException(Code.TWICE, "name", "\"" + name + "\" in zone \"" + other
                    + "\" and in zone \"" + zone + "\"", "name it once");
            }
        }));
    }

    /**
     * Checks that the 32-bit ids of a group's names are distinct. Ids are not used across groups: of all
     * lists of 5,700 names, one in 260 would contain two names with the same id.
     */
    private static void apart(List<String> names) {
        Map<Integer, String> byId = new HashMap<>();
        for (String name : names) {
            String alike = byId.put(MemberList.idOf(name), name);
            if (alike != null) {
                throw new GroupException(Code.ALIKE, "name", "\"" + name + "\"", "it cannot be told from \""
                    + alike + "\" in the same group; rename one of them");
            }
        }
    }

    private static List<List<String>> split(String zone, TreeSet<String> names, int size, int least,
                                            int most) {
        int n = names.size();
        int groups = n <= Math.min(1.5 * size, most) ? 1
            : (int) Math.max(Math.round((double) n / size), Math.ceil(n / (MOST_MEAN * most)));
        int full = groups == 1 ? n : (int) Math.min(most, Math.ceil(FULLEST * n / groups));
        List<List<String>> result = new ArrayList<>();
        long[] seeds = new long[groups];
        for (int i = 0; i < groups; i++) {
            result.add(new ArrayList<>());
            seeds[i] = mixed(hashed(zone) + i);
        }
        for (String name : names) {
            long drawn = hashed(name), highest = 0;
            int best = -1;
            for (int i = 0; i < groups; i++) {
                long number = mixed(seeds[i] ^ drawn);
                if (result.get(i).size() < full && (best < 0 || number > highest)) {
                    best = i;
                    highest = number;
                }
            }
            result.get(best).add(name);
        }
        result.removeIf(List::isEmpty); // possible by chance with very few names, as in tests
        if (least > 0) {
            fill(result, (int) Math.min(least, EMPTIEST * n / groups), seeds);
        }
        return result;
    }

    /** Fills groups below the minimum with the names of larger groups that have the highest hash for them. */
    private static void fill(List<List<String>> groups, int least, long[] seeds) {
        for (int i = 0; i < groups.size(); i++) {
            while (groups.get(i).size() < least) {
                List<String> from = null;
                String next = null;
                long highest = 0;
                for (List<String> group : groups) {
                    for (String name : group.size() > least ? group : List.<String>of()) {
                        long number = mixed(seeds[i] ^ hashed(name));
                        if (next == null || number > highest) {
                            from = group;
                            next = name;
                            highest = number;
                        }
                    }
                }
                from.remove(next);
                groups.get(i).add(next);
            }
        }
    }

    /** FNV-1a with a final mix. */
    private static long hashed(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (each & 0xff)) * 0x100000001b3L;
        }
        return mixed(hash);
    }

    /** The finalizer of SplitMix64: each bit of the result depends on all bits of the value. */
    static long mixed(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    /** Whether all members are in one group, so that nothing is sent between groups. */
    public boolean isSingleGroup() {
        return rosters.size() == 1;
    }

    public int groupCount() {
        return rosters.size();
    }

    /** Returns the index of a member's group, or -1 if the name is not on the list. */
    public int groupOf(String name) {
        return byName.getOrDefault(name, -1);
    }

    /** Returns the names of a group in the order of its member list. */
    public List<String> memberNames(int group) {
        return rosters.get(group).names();
    }

    /** Returns a group's name, as "zone/3", or "3" if there are no zones. */
    public String label(int group) {
        return labels.get(group);
    }

    /** Returns the number of members in all groups. */
    public int memberCount() {
        return before[before.length - 1];
    }

    /** Returns a hash of the names, their zones and their groups. */
    public int hash() {
        return hash;
    }

    /** Returns a hash of the names of a group. */
    int hash(int group) {
        return rosters.get(group).hash();
    }

    /** Returns the number of members in the groups before this one. */
    int before(int group) {
        return before[group];
    }

    /** Returns the key of a group on the wire: a hash of its label. */
    int key(int group) {
        return keys[group];
    }

    /** Returns the index of the group with this key, or -1. */
    int group(int key) {
        return byKey.getOrDefault(key, -1);
    }

    MemberList roster(int group) {
        return rosters.get(group);
    }
}
