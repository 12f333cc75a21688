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
    private static final String FILE_NAME_PREFIX = "backend-";
    private static final Pattern FILE_CONTENT = Pattern.compile("(out|in) (\\d{1,18})\\n");
    /** Valid ids in a command: the encoded file name stays within the length limit of file systems. */
    private static final Pattern VALID_ID = Pattern.compile("[\\x21-\\x7e]{1,80}");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_UNLISTED_IDS = 1_000;

    private final Path folder;
    private final Map<String, StoredOverride> overridesById = new ConcurrentHashMap<>();
    private final Set<String> unreadableFiles = new HashSet<>(); // names of files already logged
    private final Set<String> knownIds = ConcurrentHashMap.newKeySet();
    private final Set<String> unlistedIds = new LinkedHashSet<>(); // unlisted last; event loop only

    /** Detached or attached again, at this time of the wall clock in microseconds. */
    private record StoredOverride(boolean detached, long changedAtMicros) {
    }

    /** Loads the overrides stored in the folder; if it is null, they are kept in memory only. */
    OperatorOverrides(Path folder) {
        this.folder = folder;
        refresh();
    }

    /** Notes that discovery lists this backend; commands are accepted for known backends only. */
    void markListed(String id) {
        knownIds.add(id);
        unlistedIds.remove(id);
    }

    /**
     * Notes that discovery no longer lists this backend. It may only be restarting, so commands are
     * still accepted for a limited number of recently unlisted backends.
     */
    void markUnlisted(String id) {
        unlistedIds.add(id);
        if (unlistedIds.size() > MAX_UNLISTED_IDS) {
            Iterator<String> oldest = unlistedIds.iterator();
            knownIds.remove(oldest.next());
            oldest.remove();
        }
    }

    /**
     * Whether commands are accepted for this id: discovery listed it, or there is a stored override for
     * it.
     */
    boolean isKnown(String id) {
        return VALID_ID.matcher(id).matches() && (knownIds.contains(id) || overridesById.containsKey(id));
    }

    /**
     * Detaches a backend. Returns whether that changed anything; the override is stored when the method
     * returns.
     */
    boolean detach(String id) throws IOException {
        StoredOverride previous = overridesById.get(id);
        return (previous == null || !previous.detached) && store(id, new StoredOverride(true, nowMicros()));
    }

    /**
     * Attaches a detached backend again, which counts as started now. Returns whether that changed
     * anything.
     */
    boolean attach(String id) throws IOException {
        StoredOverride previous = overridesById.get(id);
        return previous != null && previous.detached && store(id, new StoredOverride(false, nowMicros()));
    }

    private static long nowMicros() {
        return System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    private boolean store(String id, StoredOverride override) throws IOException {
        if (folder != null) {
            Files.createDirectories(folder);
            String fileName = FILE_NAME_PREFIX + URLEncoder.encode(id, StandardCharsets.UTF_8);
            Path temporaryFile = Files.createTempFile(folder, "new-", null);
            Files.writeString(temporaryFile,
                (override.detached ? "out " : "in ") + override.changedAtMicros + "\n");
            Files.move(temporaryFile, folder.resolve(fileName), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        }
        overridesById.put(id, override);
        return true;
    }

    /** Reloads the stored overrides, and returns the ids whose overrides another process has changed. */
    List<String> refresh() {
        List<String> changedIds = new ArrayList<>();
        if (folder == null || !Files.isDirectory(folder)) {
            return changedIds;
        }
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_NAME_PREFIX + "*")) {
            for (Path file : files) {
                String id = URLDecoder.decode(file.getFileName().toString()
                    .substring(FILE_NAME_PREFIX.length()), StandardCharsets.UTF_8);
                StoredOverride override = readOverride(file);
                if (override != null && !override.equals(overridesById.put(id, override))) {
                    changedIds.add(id);
                }
            }
        } catch (IOException | RuntimeException e) {
            Log.error("operators", e); // the overrides loaded so far stay in force
        }
        return changedIds;
    }

    private StoredOverride readOverride(Path file) throws IOException {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.ISO_8859_1);
        } catch (NoSuchFileException e) {
            return null; // removed since the folder was listed
        }
        Matcher matcher = FILE_CONTENT.matcher(text);
        if (!matcher.matches()) {
            if (unreadableFiles.add(file.getFileName().toString())) {
                Log.write("operators", "cannot parse the stored override " + file.getFileName());
            }
            return null;
        }
        return new StoredOverride("out".equals(matcher.group(1)), Long.parseLong(matcher.group(2)));
    }

    /**
     * The entry with the override applied: detached backends drain, reattached ones have a new start
     * time.
     */
    RequestTable.ListedBackend applyOverride(String id, RequestTable.ListedBackend listedBackend) {
        StoredOverride override = overridesById.get(id);
        if (override == null) {
            return listedBackend;
        }
        Backend backend = listedBackend.backend();
        Phase phase = override.detached && backend.phase() == Phase.READY ? Phase.DRAINING : backend.phase();
        long startedAt = override.detached ? backend.startedAt()
            : Math.max(backend.startedAt(), override.changedAtMicros);
        return new RequestTable.ListedBackend(id, new Backend(backend.id(), backend.zone(), backend.kind(),
            backend.cell(), phase, backend.weight(), startedAt), listedBackend.address());
    }

    /** The number of detached backends. */
    long detachedCount() {
        return overridesById.values().stream().filter(StoredOverride::detached).count();
    }
}
