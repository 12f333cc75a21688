package dockrelay.lab.scale;

import dockrelay.lab.spec.TomlSection;
import dockrelay.lab.spec.SpecException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/**
 * Specification of a run, read from a TOML file: one role, its sizes and the number of plays for each. The
 * role's own keys are in the table of its name.
 */
public final class ScaleSpec {
    private static final int MAX_SIZE = 1_000_000, MAX_PLAYS = 100;

    private final Path file;
    private final Role role;
    private final List<Integer> sizes;
    private final int plays;
    private final long seed;
    private final boolean quick;
    private final TomlSection rootSection, roleSection;

    private ScaleSpec(Path file, TomlSection rootSection, Role roleOverride, boolean quick) {
        this.file = file;
        this.rootSection = rootSection;
        this.quick = quick;
        String roleName = rootSection.readText("role", roleOverride == null ? null : roleOverride.name());
        role = roleOverride != null ? roleOverride : Roles.findByName(roleName);
        if (role == null) {
            throw rootSection.invalidValue("role", "one of " + Roles.joinedNames());
        }
        List<Integer> fullSizes = rootSection.readAscendingCounts("sizes", null, 1, MAX_SIZE);
        List<Integer> quickSizes = rootSection.readAscendingCounts("quick_sizes",
            fullSizes.subList(0, Math.min(2, fullSizes.size())), 1, MAX_SIZE);
        sizes = quick ? quickSizes : fullSizes;
        int configuredPlays = rootSection.readCount("plays", 1, 1, MAX_PLAYS);
        plays = quick ? 1 : configuredPlays;
        seed = rootSection.readCount("seed", 1, 0, Integer.MAX_VALUE);
        roleSection = rootSection.readTable(role.name());
    }

    /**
     * Reads a specification; throws a SpecException with a one-line message if it is invalid. A role that is
     * not null overrides the file's.
     */
    public static ScaleSpec read(Path file, Role role, boolean quick) {
        try {
            return parse(file, Files.readString(file), role, quick);
        } catch (NoSuchFileException e) {
            throw new SpecException(file + ": no such file");
        } catch (IOException e) {
            throw new SpecException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /** Parses a specification from text; the path appears in messages only. */
    public static ScaleSpec parse(Path file, String text, Role role, boolean quick) {
        return new ScaleSpec(file, TomlSection.parse(file, text), role, quick);
    }

    /** The name of the file, without its folder. */
    public String name() {
        return file.getFileName().toString();
    }

    public Role role() {
        return role;
    }

    public List<Integer> sizes() {
        return sizes;
    }

    public int plays() {
        return plays;
    }

    public long seed() {
        return seed;
    }

    /** Whether this is a quick run, in which a role may shorten its plays. */
    public boolean quick() {
        return quick;
    }

    /** The section with the role's own keys. */
    public TomlSection roleSection() {
        return roleSection;
    }

    /** Throws a SpecException for keys that nothing has read. */
    void rejectUnreadKeys() {
        rootSection.rejectUnknownKeys();
        roleSection.rejectUnknownKeys();
    }
}
