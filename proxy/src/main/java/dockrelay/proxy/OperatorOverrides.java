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
 * The backends that the operators have taken out of use, and when each was put back. A mark is kept in a file
 * of its own, so that the next process has it at its start and two beside each other have the same ones.
 * Calls come on the console's thread, lists on the event loop's.
 */
final class OperatorOverrides {
    private static final String PREFIX = "backend-";
    private static final Pattern KEPT = Pattern.compile("(out|in) (\\d{1,18})\\n");
    /** What an id may look like in a call: its name in a file stays within what file systems take. */
    private static final Pattern ID = Pattern.compile("[\\x21-\\x7e]{1,80}");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MOST_LEFT = 1_000;

    private final Path folder;
    private final Map<String, Mark> marks = new ConcurrentHashMap<>();
    private final Set<String> spoilt = new HashSet<>(); // files told of in the log
    private final Set<String> named = ConcurrentHashMap.newKeySet();
    private final Set<String> left = new LinkedHashSet<>(); // the last ones named no more; the loop's

    /** A backend is out, or was put back at this time of the wall clock in microseconds. */
    private record Mark(boolean out, long at) {
    }

    /** Takes up what is kept in the folder; without one nothing is kept. */
    OperatorOverrides(Path folder) {
        this.folder = folder;
        refresh();
    }

    /** Discovery has named this backend: there are calls for such ones only. */
    void markListed(String id) {
        named.add(id);
        left.remove(id);
    }

    /**
     * Discovery names it no more. It may be away for a restart only: calls about the last ones that left are
     * still let pass.
     */
    void markUnlisted(String id) {
        left.add(id);
        if (left.size() > MOST_LEFT) {
            Iterator<String> eldest = left.iterator();
            named.remove(eldest.next());
            eldest.remove();
        }
    }

    /** Whether a call may be about this id: discovery named it, here or in the process before. */
    boolean isKnown(String id) {
        return ID.matcher(id).matches() && (named.contains(id) || marks.containsKey(id));
    }

    /** Takes a backend out. Returns whether that changed anything; it is kept by then. */
    boolean detach(String id) throws IOException {
        Mark before = marks.get(id);
        return (before == null || !before.out) && set(id, new Mark(true, now()));
    }

    /** Puts a backend back that was out: it counts as started just now. */
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

    /** Reads what is kept, and returns the ids whose marks another process has changed. */
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
            Log.error("operators", e); // what cannot be read leaves the marks that there are
        }
        return changed;
    }

    private Mark kept(Path file) throws IOException {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.ISO_8859_1);
        } catch (NoSuchFileException e) {
            return null; // moved aside since the folder was read
        }
        Matcher matcher = KEPT.matcher(text);
        if (!matcher.matches()) {
            if (spoilt.add(file.getFileName().toString())) {
                Log.write("operators", "cannot read " + file.getFileName());
            }
            return null;
        }
        return new Mark("out".equals(matcher.group(1)), Long.parseLong(matcher.group(2)));
    }

    /** The entry as the proxy goes by it: the worse of what discovery and the operators say. */
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

    /** How many backends are out. */
    long out() {
        return marks.values().stream().filter(Mark::out).count();
    }
}
