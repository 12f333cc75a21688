package dockrelay.lab.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * Remembers in files which processes the lab has started, so that those of a lab that was killed can be
 * named and ended by a later one. A process is known by its id and start time: an id alone may be somebody
 * else's by then.
 */
public final class ChildProcessRegistry {
    private final Path folder, own;

    public ChildProcessRegistry(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        own = folder.resolve("lab-" + line(ProcessHandle.current()).replace(' ', '-') + "-"
            + UUID.randomUUID());
    }

    /** Where all labs of this user keep their lists. */
    public static Path defaultFolder() {
        return Path.of(System.getProperty("java.io.tmpdir"), "dockrelay-lab-"
            + System.getProperty("user.name"));
    }

    /** To be called right after a start. */
    public synchronized void started(ProcessHandle process) throws IOException {
        Files.writeString(own, line(process) + "\n", StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
    }

    /** All that this lab started has ended. */
    public synchronized void deleteOwnList() throws IOException {
        Files.deleteIfExists(own);
    }

    /** Ends what labs left behind that are no more; returns the ids of what was still there. */
    public List<Long> killOrphans() throws IOException {
        List<Long> found = new ArrayList<>();
        for (Path file : left()) {
            found.addAll(killOrphans(file));
        }
        return found;
    }

    /** The lists of labs that are no more; one that runs sees to its own. */
    List<Path> left() throws IOException {
        List<Path> left = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "lab-*")) {
            for (Path file : files) {
                if (find(file.getFileName().toString().substring("lab-".length()).split("-")) == null) {
                    left.add(file);
                }
            }
        }
        return left;
    }

    /** Ends what such a list names; nothing where another lab has done so meanwhile. */
    List<Long> killOrphans(Path file) throws IOException {
        List<Long> found = new ArrayList<>();
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (NoSuchFileException e) {
            return found;
        }
        for (String line : lines) {
            ProcessHandle process = find(line.split(" "));
            if (process != null) {
                found.add(process.pid());
                process.destroyForcibly();
            }
        }
        Files.deleteIfExists(file);
        return found;
    }

    private static String line(ProcessHandle process) {
        return process.pid() + " " + process.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
    }

    private static ProcessHandle find(String[] words) {
        if (words.length < 2) {
            return null; // cut short by a crash while it was written: no process can be known by it
        }
        return ProcessHandle.of(Long.parseLong(words[0]))
            .filter(process -> line(process).equals(words[0] + " " + words[1])).filter(ProcessHandle::isAlive)
            .orElse(null);
    }
}
