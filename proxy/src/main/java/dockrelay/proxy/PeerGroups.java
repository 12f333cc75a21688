package dockrelay.proxy;

import dockrelay.fleet.group.GroupException;
import dockrelay.fleet.group.GroupAssignment;
import dockrelay.proxy.PeerGroupsException.Code;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configured grouping of the named peers ({@code peer_groups}): the target group size and the names
 * in each zone. Without configured zones all peers are in one zone with an empty name.
 */
record PeerGroups(int targetSize, Map<String, List<String>> namesByZone, GroupAssignment assignment) {
    static final String CONFIG_KEY = "peer_groups";
    private static final String SIZE_KEY = CONFIG_KEY + ".size", ZONES_KEY = CONFIG_KEY + ".zones";
    /** Limits on the names and characters that an error message quotes. */
    private static final int MAX_QUOTED_NAMES = 12, MAX_QUOTED_VALUE_LENGTH = 60;

    /**
     * Reads the grouping from the top-level object of the configuration.
     *
     * @throws PeerGroupsException if the entry is malformed or does not fit the peers
     * @throws GroupException if the groups are invalid in themselves
     */
    static PeerGroups read(Map<?, ?> root, PeerDirectory peers) {
        Object entry = root.get(CONFIG_KEY);
        if (entry == null) {
            return create(GroupAssignment.DEFAULT_GROUP_SIZE, Map.of("", peers.names()), peers);
        }
        if (peers.names().isEmpty()) {
            throw new PeerGroupsException(Code.SHAPE, CONFIG_KEY, "set although peers has no names",
                "make peers an object {NAME: \"HOST:PORT\", ...}, or remove peer_groups");
        }
        if (!(entry instanceof Map<?, ?> entryMap)) {
            throw malformed(CONFIG_KEY, entry,
                "an object {\"size\": NUMBER, \"zones\": {ZONE: [NAME, ...], ...}}");
        }
        entryMap.forEach((key, value) -> {
            if (!"size".equals(key) && !"zones".equals(key)) {
                throw malformed(CONFIG_KEY + "." + key, value, "only size or zones");
            }
        });
        return create(readSize(entryMap.get("size")), readZones(entryMap.get("zones"), peers), peers);
    }

    private static int readSize(Object value) {
        if (value == null) {
            return GroupAssignment.DEFAULT_GROUP_SIZE;
        }
        if (value instanceof Number number && number.doubleValue() == number.intValue()) {
            return number.intValue();
        }
        throw malformed(SIZE_KEY, value, "a whole number of " + GroupAssignment.MIN_GROUP_SIZE + " to "
            + GroupAssignment.MAX_GROUP_SIZE);
    }

    private static Map<String, List<String>> readZones(Object value, PeerDirectory peers) {
        if (value == null) {
            return Map.of("", peers.names());
        }
        if (!(value instanceof Map<?, ?> map) || map.isEmpty()) {
            throw malformed(ZONES_KEY, value, "an object {ZONE: [NAME, ...], ...}");
        }
        Map<String, List<String>> namesByZone = new LinkedHashMap<>();
        map.forEach((zone, zoneValue) -> {
            if (((String) zone).isBlank()) {
                throw new GroupException(GroupException.Code.ZONE, ZONES_KEY,
                    "an object with the blank zone \"" + zone + "\"",
                    "give each zone a name, or remove zones if there is only one");
            }
            List<String> names = new ArrayList<>();
            for (Object name : zoneValue instanceof List<?> list ? list : List.of(0)) {
                if (!(name instanceof String text)) {
                    throw malformed(ZONES_KEY + "." + zone, zoneValue, "a list of names");
                }
                names.add(text);
            }
            namesByZone.put((String) zone, names);
        });
        return namesByZone;
    }

    private static PeerGroups create(int targetSize, Map<String, List<String>> namesByZone,
                                     PeerDirectory peers) {
        GroupAssignment assignment;
        try {
            assignment = GroupAssignment.of(namesByZone, targetSize);
        } catch (GroupException e) {
            throw switch (e.code()) {
                case SIZE -> new GroupException(e.code(), SIZE_KEY, e.value(), e.allowed());
                case NAME, ALIKE, TOO_MANY -> new GroupException(e.code(), "peers: " + e.key(), e.value(),
                    e.allowed());
                default -> new GroupException(e.code(), ZONES_KEY + ": " + e.key(), e.value(), e.allowed());
            };
        }
        namesByZone.forEach((zone, names) -> names.forEach(name -> {
            if (!peers.contains(name)) {
                throw new PeerGroupsException(Code.UNKNOWN, ZONES_KEY + "." + zone,
                    "a list with the unknown name \"" + name + "\"",
                    "allowed are the names in peers");
            }
        }));
        if (assignment.memberCount() < peers.size()) {
            throw new PeerGroupsException(Code.UNPLACED, ZONES_KEY, "incomplete without "
                + abbreviate(peers.names().stream().filter(name -> assignment.groupOf(name) < 0).toList()),
                "put each peer into exactly one zone");
        }
        return new PeerGroups(targetSize, namesByZone, assignment);
    }

    /** Lists the names for a log line or an error message, the first ones only if there are many. */
    static String abbreviate(List<String> names) {
        return names.size() <= MAX_QUOTED_NAMES ? names.toString()
            : names.subList(0, MAX_QUOTED_NAMES) + " and " + (names.size() - MAX_QUOTED_NAMES) + " more";
    }

    private static PeerGroupsException malformed(String key, Object value, String allowed) {
        String text = value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        return new PeerGroupsException(Code.SHAPE, key, text.length() > MAX_QUOTED_VALUE_LENGTH
            ? text.substring(0, MAX_QUOTED_VALUE_LENGTH) + "..." : text, "allowed is " + allowed);
    }

    /** Whether both result in the same groups of the same names. */
    boolean hasSameGroups(PeerGroups other) {
        return targetSize == other.targetSize && namesByZone.equals(other.namesByZone);
    }

    /** The names in the group of the given member, in an order that is the same at every member. */
    List<String> namesInGroupOf(String name) {
        return assignment.memberNames(assignment.groupOf(name));
    }

    /** The number of names in the smallest group. */
    int smallestGroupSize() {
        int smallest = Integer.MAX_VALUE;
        for (int i = 0; i < assignment.groupCount(); i++) {
            smallest = Math.min(smallest, assignment.memberNames(i).size());
        }
        return smallest;
    }
}
