package dockrelay.proxy;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Phase;
import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The backends that operators have detached, and when each was attached again. Each override is stored
 * in a file of its own, so that it survives a restart and concurrent processes share it. Commands
 * arrive on the console's thread, backend lists on the event loop.
 */
final class OperatorOverrides {
    private static final String PREFIX = "backend-";
    private static final Pattern KEPT = Pattern.compile("(out|in) (\\d{1,18})\\n");
    /** Valid ids in a command: the encoded file name stays within the length limit of file systems. */
    private static final Pattern ID = Pattern.compile("[\\x21-\\x7e]{1,80}");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MOST_LEFT = 1_000;

    private final Path folder;
    private final Map<String, Mark> marks = new ConcurrentHashMap<>();
    private final Set<String> spoilt = new HashSet<>(); // unreadable files that have been logged
    private final Set<String> named = ConcurrentHashMap.newKeySet();
    private final Set<String> left = new LinkedHashSet<>(); // unlisted last; event loop only

    /** Detached or attached again, at this time of the wall clock in microseconds. */
    private record Mark(boolean out, long at) {
    }

    /** Loads the overrides stored in the folder; if it is null, they are kept in memory only. */
    OperatorOverrides(Path folder) {
        this.folder = folder;
        refresh();
    }

    /** Notes that discovery lists this backend; commands are accepted for known backends only. */
    void markListed(String id) {
        named.add(id);
        left.remove(id);
    }

    /**
     * Notes that discovery no longer lists this backend. It may only be restarting, so commands are
     * still accepted for a limited number of recently unlisted backends.
     */
    void markUnlisted(String id) {
        left.add(id);
        if (left.size() > MOST_LEFT) {
            Iterator<String> eldest = left.iterator();
            named.remove(eldest.next());
            eldest.remove();
        }
    }

    /**
     * Whether commands are accepted for this id: discovery listed it, or there is a stored override for
     * it.
     */
    boolean isKnown(String id) {
        return ID.matcher(id).matches() && (named.contains(id) || marks.containsKey(id));
    }

    /**
     * Detaches a backend. Returns whether that changed anything; the override is stored when the method
     * returns.
     */
    boolean detach(String id) throws IOException {
        Mark before = marks.get(id);
        return (before == null || !before.out) && set(id, new Mark(true, now()));
    }

    /**
     * Attaches a detached backend again, which counts as started now. Returns whether that changed
     * anything.
     */
    boolean attach(String id) throws IOException {
        Mark before = marks.get(id);
        return before != null && before.out && set(id, new Mark(false, now()));
    }

    private static long now() {
        return System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    private boolean set(String id, Mark mark) throws IOException {
        if (folder != null) {
            Files.createDirectories(folder);
            String name = PREFIX + URLEncoder.encode(id, StandardCharsets.UTF_8);
            Path part = Files.createTempFile(folder, "new-", null);
            Files.writeString(part, (mark.out ? "out " : "in ") + mark.at + "\n");
            Files.move(part, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        }
        marks.put(id, mark);
        return true;
    }

    /** Reloads the stored overrides, and returns the ids whose overrides another process has changed. */
    List<String> refresh() {
        List<String> changed = new ArrayList<>();
        if (folder == null || !Files.isDirectory(folder)) {
            return changed;
        }
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                String id = URLDecoder.decode(file.getFileName().toString().substring(PREFIX.length()),
                    StandardCharsets.UTF_8);
                Mark mark = kept(file);
                if (mark != null && !mark.equals(marks.put(id, mark))) {
                    changed.add(id);
                }
            }
        } catch (IOException | RuntimeException e) {
            Log.error("operators", e); // the overrides loaded so far stay in force
        }
        return changed;
    }

    private Mark kept(Path file) throws IOException {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.ISO_8859_1);
        } catch (NoSuchFileException e) {
            return null; // removed since the folder was listed
        }
        Matcher matcher = KEPT.matcher(text);
        if (!matcher.matches()) {
            if (spoilt.add(file.getFileName().toString())) {
                Log.write("operators", "cannot parse the stored override " + file.getFileName());
            }
            return null;
        }
        return new Mark("out".equals(matcher.group(1)), Long.parseLong(matcher.group(2)));
    }

    /**
     * The entry with the override applied: detached backends drain, reattached ones have a new start
     * time.
     */
    RequestTable.ListedBackend applyOverride(String id, RequestTable.ListedBackend member) {
        Mark mark = marks.get(id);
        if (mark == null) {
            return member;
        }
        Backend listed = member.backend();
        Phase phase = mark.out && listed.phase() == Phase.READY ? Phase.DRAINING : listed.phase();
        long startedAt = mark.out ? listed.startedAt() : Math.max(listed.startedAt(), mark.at);
        return new RequestTable.ListedBackend(id, new Backend(listed.id(), listed.zone(), listed.kind(),
            listed.cell(), phase, listed.weight(), startedAt), member.address());
    }

    /** The number of detached backends. */
    long out() {
        return marks.values().stream().filter(Mark::out).count();
    }
}
