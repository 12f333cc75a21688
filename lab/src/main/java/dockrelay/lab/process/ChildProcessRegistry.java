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
    private final Path folder, ownList;

    public ChildProcessRegistry(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        ownList = folder.resolve("lab-" + toLine(ProcessHandle.current()).replace(' ', '-') + "-"
            + UUID.randomUUID());
    }

    /** Where all labs of this user keep their lists. */
    public static Path defaultFolder() {
        return Path.of(System.getProperty("java.io.tmpdir"), "dockrelay-lab-"
            + System.getProperty("user.name"));
    }

    /** To be called right after a start. */
    public synchronized void register(ProcessHandle process) throws IOException {
        Files.writeString(ownList, toLine(process) + "\n", StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
    }

    /** All that this lab started has ended. */
    public synchronized void deleteOwnList() throws IOException {
        Files.deleteIfExists(ownList);
    }

    /** Ends what labs left behind that are no more; returns the ids of what was still there. */
    public List<Long> killOrphans() throws IOException {
        List<Long> killedPids = new ArrayList<>();
        for (Path list : listsOfDeadLabs()) {
            killedPids.addAll(killOrphans(list));
        }
        return killedPids;
    }

    /** The lists of labs that are no more; one that runs sees to its own. */
    List<Path> listsOfDeadLabs() throws IOException {
        List<Path> lists = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "lab-*")) {
            for (Path file : files) {
                if (findRunning(file.getFileName().toString().substring("lab-".length()).split("-")) == null) {
                    lists.add(file);
                }
            }
        }
        return lists;
    }

    /** Ends what such a list names; nothing where another lab has done so meanwhile. */
    List<Long> killOrphans(Path list) throws IOException {
        List<Long> killedPids = new ArrayList<>();
        List<String> lines;
        try {
            lines = Files.readAllLines(list);
        } catch (NoSuchFileException e) {
            return killedPids;
        }
        for (String line : lines) {
            ProcessHandle process = findRunning(line.split(" "));
            if (process != null) {
                killedPids.add(process.pid());
                process.destroyForcibly();
            }
        }
        Files.deleteIfExists(list);
        return killedPids;
    }

    private static String toLine(ProcessHandle process) {
        return process.pid() + " " + process.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
    }

    private static ProcessHandle findRunning(String[] pidAndStart) {
        if (pidAndStart.length < 2) {
            return null; // cut short by a crash while it was written: no process can be known by it
        }
        return ProcessHandle.of(Long.parseLong(pidAndStart[0]))
            .filter(process -> toLine(process).equals(pidAndStart[0] + " " + pidAndStart[1])).filter(ProcessHandle::isAlive)
            .orElse(null);
    }
}
