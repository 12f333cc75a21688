package dockrelay.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/** The configured member names of a group, in an order that depends on the names alone. */
public final class MemberList {
    private static final int MAX_MEMBERS = 1024, MAX_NAME_BYTES = 64;

    private final List<String> names;
    private final int[] ids;
    private final Map<Integer, Integer> indexById = new HashMap<>();
    private final Map<String, Integer> indexByName = new HashMap<>();
    private final int hash;

    /**
     * Sorts and indexes the names.
     *
     * @throws IllegalArgumentException if there are too few or too many names, one is empty or too long, or
     *     two have the same id
     */
    public MemberList(Collection<String> configuredNames) {
        if (configuredNames.isEmpty() || configuredNames.size() > MAX_MEMBERS) {
            throw new IllegalArgumentException(configuredNames.size() + " members; allowed are 1 to "
                + MAX_MEMBERS);
        }
        names = configuredNames.stream().sorted(Comparator.comparingInt(String::length)
            .thenComparing(Comparator.naturalOrder())).toList(); // n2 before n10
        ids = new int[names.size()];
        CRC32C listChecksum = new CRC32C();
        for (int i = 0; i < ids.length; i++) {
            byte[] nameBytes = names.get(i).getBytes(StandardCharsets.UTF_8);
            if (nameBytes.length == 0 || nameBytes.length > MAX_NAME_BYTES) {
                throw new IllegalArgumentException("member name \"" + names.get(i) + "\" has "
                    + nameBytes.length + " bytes; allowed are 1 to " + MAX_NAME_BYTES);
            }
            ids[i] = idOf(names.get(i));
            Integer otherIndex = indexById.put(ids[i], i);
            if (otherIndex != null) {
                throw new IllegalArgumentException("member names \"" + names.get(otherIndex) + "\" and \""
                    + names.get(i) + "\" cannot be told apart");
            }
            indexByName.put(names.get(i), i);
            listChecksum.update(nameBytes);
            listChecksum.update(0);
        }
        hash = (int) listChecksum.getValue();
    }

    /** Returns the id of a name on the wire: its CRC-32C. */
    public static int idOf(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    public int size() {
        return ids.length;
    }

    public List<String> names() {
        return names;
    }

    /** Returns the name of the member with this index. */
    public String nameAt(int index) {
        return names.get(index);
    }

    /** Returns the id of the member with this index. */
    public int idAt(int index) {
        return ids[index];
    }

    /** Returns the index of the member with this id, or -1. */
    public int indexOf(int id) {
        return indexById.getOrDefault(id, -1);
    }

    /** Returns the index of the member with this name, or -1. */
    public int indexOf(String name) {
        return indexByName.getOrDefault(name, -1);
    }

    /** Returns a hash of the names; equal for equal lists. */
    public int hash() {
        return hash;
    }

    /** Returns the name of a member, or its id in hexadecimal if it is not on the list. */
    public String nameOrId(int id) {
        int index = indexOf(id);
        return index >= 0 ? nameAt(index) : String.format("#%08x", id);
    }
}
