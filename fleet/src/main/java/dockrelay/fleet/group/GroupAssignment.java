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
    private static final int MAX_MEMBERS = 16_384, MAX_NAME_BYTES = 64;
    /** The per-group data of a table has to fit into one datagram. */
    private static final int MAX_GROUPS = 512;
    /** Upper and lower bound of a group's size, as multiples of the mean group size of its zone. */
    private static final double MAX_SIZE_TO_MEAN = 1.2, MIN_SIZE_TO_MEAN = 0.9;
    /** With a mean above this fraction of the maximum, a group could exceed the maximum by chance. */
    private static final double MAX_MEAN_TO_MAX_SIZE = 0.9;

    private final List<MemberList> memberLists = new ArrayList<>();
    private final List<String> labels = new ArrayList<>();
    private final Map<String, Integer> groupByName = new HashMap<>();
    private final Map<Integer, Integer> groupByKey = new HashMap<>();
    private final int[] keys, membersBefore;
    private final int hash;

    private GroupAssignment(Map<String, ? extends Collection<String>> zones, int size, int minSize,
        int maxSize) {
        validate(zones);
        CRC32C listChecksum = new CRC32C();
        for (Map.Entry<String, ? extends Collection<String>> zone : new TreeMap<>(zones).entrySet()) {
            List<List<String>> groups = splitZone(zone.getKey(), new TreeSet<>(zone.getValue()), size,
                minSize, maxSize);
            for (int i = 0; i < groups.size(); i++) {
                String label = zone.getKey().isEmpty() ? Integer.toString(i + 1)
                    : zone.getKey() + "/" + (i + 1);
                if (groupByKey.put(MemberList.idOf(label), labels.size()) != null) {
                    throw new GroupException(Code.ALIKE, "zone", "\"" + zone.getKey() + "\"",
                        "it cannot be told from another one; rename it");
                }
                labels.add(label);
                checkDistinctIds(groups.get(i));
                MemberList memberList = new MemberList(groups.get(i));
                memberLists.add(memberList);
                listChecksum.update(label.getBytes(StandardCharsets.UTF_8));
                listChecksum.update(0);
                for (String name : memberList.names()) {
                    groupByName.put(name, labels.size() - 1);
                    listChecksum.update(name.getBytes(StandardCharsets.UTF_8));
                    listChecksum.update(0);
                }
            }
        }
        if (labels.size() > MAX_GROUPS) {
            throw new GroupException(Code.TOO_MANY, "number of groups", Integer.toString(labels.size()),
                "allowed are 1 to " + MAX_GROUPS + "; a zone is at least one");
        }
        hash = (int) listChecksum.getValue();
        keys = labels.stream().mapToInt(MemberList::idOf).toArray();
        membersBefore = new int[memberLists.size() + 1];
        for (int i = 0; i < memberLists.size(); i++) {
            membersBefore[i + 1] = membersBefore[i] + memberLists.get(i).size();
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
        return new GroupAssignment(zones, size, 0, MAX_MEMBERS);
    }

    private void validate(Map<String, ? extends Collection<String>> zones) {
        int nameCount = 0;
        for (Map.Entry<String, ? extends Collection<String>> zone : zones.entrySet()) {
            if (zone.getKey().isBlank() && (zones.size() > 1 || !zone.getKey().isEmpty())) {
                throw new GroupException(Code.ZONE, "zone", "\"" + zone.getKey() + "\"",
                    "a zone beside others needs a name");
            }
            if (zone.getValue().isEmpty()) {
                throw new GroupException(Code.EMPTY, "zone", "\"" + zone.getKey() + "\" without a name in it",
                    "give it one or leave it out");
            }
            nameCount += zone.getValue().size();
        }
        if (nameCount == 0 || nameCount > MAX_MEMBERS) {
            throw new GroupException(Code.TOO_MANY, "number of names", Integer.toString(nameCount),
                "allowed are 1 to " + MAX_MEMBERS);
        }
        Map<String, String> zoneOf = new HashMap<>();
        zones.forEach((zone, zoneNames) -> zoneNames.forEach(name -> {
            int length = name.getBytes(StandardCharsets.UTF_8).length;
            if (length == 0 || length > MAX_NAME_BYTES) {
                throw new GroupException(Code.NAME, "name", "\"" + name + "\" of " + length + " bytes",
                    "allowed are 1 to " + MAX_NAME_BYTES);
            }
            String otherZone = zoneOf.put(name, zone);
            if (otherZone != null) {
                throw new GroupException(Code.TWICE, "name", "\"" + name + "\" in zone \"" + otherZone
                    + "\" and in zone \"" + zone + "\"", "name it once");
            }
        }));
    }

    /**
     * Checks that the 32-bit ids of a group's names are distinct. Ids are not used across groups: of all
     * lists of 5,700 names, one in 260 would contain two names with the same id.
     */
    private static void checkDistinctIds(List<String> names) {
        Map<Integer, String> nameById = new HashMap<>();
        for (String name : names) {
            String otherName = nameById.put(MemberList.idOf(name), name);
            if (otherName != null) {
                throw new GroupException(Code.ALIKE, "name", "\"" + name + "\"", "it cannot be told from \""
                    + otherName + "\" in the same group; rename one of them");
            }
        }
    }

    private static List<List<String>> splitZone(String zone, TreeSet<String> names, int size, int minSize,
        int maxSize) {
        int nameCount = names.size();
        int groupCount = nameCount <= Math.min(1.5 * size, maxSize) ? 1
            : (int) Math.max(Math.round((double) nameCount / size),
                Math.ceil(nameCount / (MAX_MEAN_TO_MAX_SIZE * maxSize)));
        int maxGroupSize = groupCount == 1 ? nameCount
            : (int) Math.min(maxSize, Math.ceil(MAX_SIZE_TO_MEAN * nameCount / groupCount));
        List<List<String>> result = new ArrayList<>();
        long[] seeds = new long[groupCount];
        for (int i = 0; i < groupCount; i++) {
            result.add(new ArrayList<>());
            seeds[i] = mix(hashOf(zone) + i);
        }
        for (String name : names) {
            long nameHash = hashOf(name), highestHash = 0;
            int bestGroup = -1;
            for (int i = 0; i < groupCount; i++) {
                long hash = mix(seeds[i] ^ nameHash);
                if (result.get(i).size() < maxGroupSize && (bestGroup < 0 || hash > highestHash)) {
                    bestGroup = i;
                    highestHash = hash;
                }
            }
            result.get(bestGroup).add(name);
        }
        result.removeIf(List::isEmpty); // possible by chance with very few names, as in tests
        if (minSize > 0) {
            fillSmallGroups(result, (int) Math.min(minSize, MIN_SIZE_TO_MEAN * nameCount / groupCount),
                seeds);
        }
        return result;
    }

    /** Fills groups below the minimum with the names of larger groups that have the highest hash for them. */
    private static void fillSmallGroups(List<List<String>> groups, int minSize, long[] seeds) {
        for (int i = 0; i < groups.size(); i++) {
            while (groups.get(i).size() < minSize) {
                List<String> sourceGroup = null;
                String nextName = null;
                long highestHash = 0;
                for (List<String> group : groups) {
                    for (String name : group.size() > minSize ? group : List.<String>of()) {
                        long hash = mix(seeds[i] ^ hashOf(name));
                        if (nextName == null || hash > highestHash) {
                            sourceGroup = group;
                            nextName = name;
                            highestHash = hash;
                        }
                    }
                }
                sourceGroup.remove(nextName);
                groups.get(i).add(nextName);
            }
        }
    }

    /** FNV-1a with a final mix. */
    private static long hashOf(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte nextByte : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (nextByte & 0xff)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64: each bit of the result depends on all bits of the value. */
    static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    /** Whether all members are in one group, so that nothing is sent between groups. */
    public boolean isSingleGroup() {
        return memberLists.size() == 1;
    }

    public int groupCount() {
        return memberLists.size();
    }

    /** Returns the index of a member's group, or -1 if the name is not on the list. */
    public int groupOf(String name) {
        return groupByName.getOrDefault(name, -1);
    }

    /** Returns the names of a group in the order of its member list. */
    public List<String> memberNames(int group) {
        return memberLists.get(group).names();
    }

    /** Returns a group's name, as "zone/3", or "3" if there are no zones. */
    public String label(int group) {
        return labels.get(group);
    }

    /** Returns the number of members in all groups. */
    public int memberCount() {
        return membersBefore[membersBefore.length - 1];
    }

    /** Returns a hash of the names, their zones and their groups. */
    public int hash() {
        return hash;
    }

    /** Returns a hash of the names of a group. */
    int hash(int group) {
        return memberLists.get(group).hash();
    }

    /** Returns the number of members in the groups before this one. */
    int membersBefore(int group) {
        return membersBefore[group];
    }

    /** Returns the key of a group on the wire: a hash of its label. */
    int keyOf(int group) {
        return keys[group];
    }

    /** Returns the index of the group with this key, or -1. */
    int groupWithKey(int key) {
        return groupByKey.getOrDefault(key, -1);
    }

    MemberList memberList(int group) {
        return memberLists.get(group);
    }
}
