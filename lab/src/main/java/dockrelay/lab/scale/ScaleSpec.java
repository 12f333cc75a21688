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
    private static final int MOST_SIZE = 1_000_000, MOST_PLAYS = 100;

    private final Path file;
    private final Role role;
    private final List<Integer> sizes;
    private final int plays;
    private final long seed;
    private final boolean quick;
    private final TomlSection top, own;

    private ScaleSpec(Path file, TomlSection top, Role wanted, boolean quick) {
        this.file = file;
        this.top = top;
        this.quick = quick;
        String name = top.readText("role", wanted == null ? null : wanted.name());
        role = wanted != null ? wanted : Roles.of(name);
        if (role == null) {
            throw top.invalidValue("role", "one of " + Roles.names());
        }
        List<Integer> all = top.readAscendingCounts("sizes", null, 1, MOST_SIZE);
        List<Integer> few = top.readAscendingCounts("quick_sizes", all.subList(0, Math.min(2, all.size())), 1,
            MOST_SIZE);
        sizes = quick ? few : all;
        int given = top.readCount("plays", 1, 1, MOST_PLAYS);
        plays = quick ? 1 : given;
        seed = top.readCount("seed", 1, 0, Integer.MAX_VALUE);
        own = top.readTable(role.name());
    }

    /**
     * Reads a specification; throws a SpecException with a one-line message if it is invalid. A role that is
     * not null overrides the file's.
     */
    public static ScaleSpec read(Path file, Role role, boolean quick) {
        try {
            return of(file, Files.readString(file), role, quick);
        } catch (NoSuchFileException e) {
            throw new SpecException(file + ": no such file");
        } catch (IOException e) {
            throw new SpecException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /** Parses a specification from text; the path appears in messages only. */
    public static ScaleSpec of(Path file, String text, Role role, boolean quick) {
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
        return own;
    }

    /** Throws a SpecException for keys that nothing has read. */
    void done() {
        top.rejectUnknownKeys();
        own.rejectUnknownKeys();
    }
}
