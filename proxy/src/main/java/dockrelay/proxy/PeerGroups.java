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
record PeerGroups(int size, Map<String, List<String>> zones, GroupAssignment grouping) {
    static final String CONFIG_KEY = "peer_groups";
    private static final String SIZE = CONFIG_KEY + ".size", ZONES = CONFIG_KEY + ".zones";
    /** Limits on the names and characters that an error message quotes. */
    private static final int MOST_TOLD = 12, LONGEST_VALUE = 60;

    /**
     * Reads the grouping from the top-level object of the configuration.
     *
     * @throws PeerGroupsException if the entry is malformed or does not fit the peers
     * @throws GroupException if the groups are invalid in themselves
     */
    static PeerGroups read(Map<?, ?> top, PeerDirectory peers) {
        Object given = top.get(CONFIG_KEY);
        if (given == null) {
            return of(GroupAssignment.DEFAULT_GROUP_SIZE, Map.of("", peers.names()), peers);
        }
        if (peers.names().isEmpty()) {
            throw new PeerGroupsException(Code.SHAPE, CONFIG_KEY, "set although peers has no names",
                "make peers an object {NAME: \"HOST:PORT\", ...}, or remove peer_groups");
        }
        if (!(given instanceof Map<?, ?> map)) {
            throw shape(CONFIG_KEY, given, "an object {\"size\": NUMBER, \"zones\": {ZONE: [NAME, ...], ...}}");
        }
        map.forEach((key, value) -> {
            if (!"size".equals(key) && !"zones".equals(key)) {
                throw shape(CONFIG_KEY + "." + key, value, "only size or zones");
            }
        });
        return of(readSize(map.get("size")), readZones(map.get("zones"), peers), peers);
    }

    private static int readSize(Object value) {
        if (value == null) {
            return GroupAssignment.DEFAULT_GROUP_SIZE;
        }
        if (value instanceof Number number && number.doubleValue() == number.intValue()) {
            return number.intValue();
        }
        throw shape(SIZE, value, "a whole number of " + GroupAssignment.MIN_GROUP_SIZE + " to " + GroupAssignment.MAX_GROUP_SIZE);
    }

    private static Map<String, List<String>> readZones(Object value, PeerDirectory peers) {
        if (value == null) {
            return Map.of("", peers.names());
        }
        if (!(value instanceof Map<?, ?> map) || map.isEmpty()) {
            throw shape(ZONES, value, "an object {ZONE: [NAME, ...], ...}");
        }
        Map<String, List<String>> result = new LinkedHashMap<>();
        map.forEach((zone, in) -> {
            if (((String) zone).isBlank()) {
                throw new GroupException(GroupException.Code.ZONE, ZONES,
                    "an object with the blank zone \"" + zone + "\"",
                    "give each zone a name, or remove zones if there is only one");
            }
            List<String> names = new ArrayList<>();
            for (Object name : in instanceof List<?> list ? list : List.of(0)) {
                if (!(name instanceof String text)) {
                    throw shape(ZONES + "." + zone, in, "a list of names");
                }
                names.add(text);
            }
            result.put((String) zone, names);
        });
        return result;
    }

    private static PeerGroups of(int size, Map<String, List<String>> zones, PeerDirectory peers) {
        GroupAssignment grouping;
        try {
            grouping = GroupAssignment.of(zones, size);
        } catch (GroupException e) {
            throw switch (e.code()) {
                case SIZE -> new GroupException(e.code(), SIZE, e.value(), e.allowed());
                case NAME, ALIKE, TOO_MANY -> new GroupException(e.code(), "peers: " + e.key(), e.value(),
                    e.allowed());
                default -> new GroupException(e.code(), ZONES + ": " + e.key(), e.value(), e.allowed());
            };
        }
        zones.forEach((zone, names) -> names.forEach(name -> {
            if (!peers.contains(name)) {
                throw new PeerGroupsException(Code.UNKNOWN, ZONES + "." + zone,
                    "a list with the unknown name \"" + name + "\"",
                    "allowed are the names in peers");
            }
        }));
        if (grouping.memberCount() < peers.size()) {
            throw new PeerGroupsException(Code.UNPLACED, ZONES, "incomplete without "
                + abbreviate(peers.names().stream()
                .filter(name -> grouping.groupOf(name) < 0).toList()), "put each peer into exactly one zone");
        }
        return new PeerGroups(size, zones, grouping);
    }

    /** Lists the names for a log line or an error message, the first ones only if there are many. */
    static String abbreviate(List<String> names) {
        return names.size() <= MOST_TOLD ? names.toString()
            : names.subList(0, MOST_TOLD) + " and " + (names.size() - MOST_TOLD) + " more";
    }

    private static PeerGroupsException shape(String key, Object value, String allowed) {
        String text = value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        return new PeerGroupsException(Code.SHAPE, key, text.length() > LONGEST_VALUE
            ? text.substring(0, LONGEST_VALUE) + "..." : text, "allowed is " + allowed);
    }

    /** Whether both result in the same groups of the same names. */
    boolean same(PeerGroups other) {
        return size == other.size && zones.equals(other.zones);
    }

    /** The names in the group of the given member, in an order that is the same at every member. */
    List<String> namesInGroupOf(String name) {
        return grouping.memberNames(grouping.groupOf(name));
    }

    /** The number of names in the smallest group. */
    int smallest() {
        int least = Integer.MAX_VALUE;
        for (int i = 0; i < grouping.groupCount(); i++) {
            least = Math.min(least, grouping.memberNames(i).size());
        }
        return least;
    }
}
