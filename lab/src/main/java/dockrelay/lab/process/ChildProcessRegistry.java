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
 * Records in files which processes the lab has started, so that a later lab can kill the orphans of a lab
 * that was killed. A process is identified by its id and start time, since the system reuses ids.
 */
public final class ChildProcessRegistry {
    private final Path folder, ownList;

    public ChildProcessRegistry(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        ownList = folder.resolve("lab-" + toLine(ProcessHandle.current()).replace(' ', '-') + "-"
            + UUID.randomUUID());
    }

    /** The folder where all labs of this user keep their lists of processes. */
    public static Path defaultFolder() {
        return Path.of(System.getProperty("java.io.tmpdir"), "dockrelay-lab-"
            + System.getProperty("user.name"));
    }

    /** Adds a process to the list of this lab. To be called right after its start. */
    public synchronized void register(ProcessHandle process) throws IOException {
        Files.writeString(ownList, toLine(process) + "\n", StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
    }

    /** Deletes the list of this lab. To be called when all its processes have exited. */
    public synchronized void deleteOwnList() throws IOException {
        Files.deleteIfExists(ownList);
    }

    /** Kills the orphans of labs that no longer run; returns the ids of the processes that still ran. */
    public List<Long> killOrphans() throws IOException {
        List<Long> killedPids = new ArrayList<>();
        for (Path list : listsOfDeadLabs()) {
            killedPids.addAll(killOrphans(list));
        }
        return killedPids;
    }

    /** The lists of labs that no longer run. */
    List<Path> listsOfDeadLabs() throws IOException {
        List<Path> lists = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "lab-*")) {
            for (Path file : files) {
                if (findRunning(file.getFileName().toString().substring("lab-".length())
                    .split("-")) == null) {
                    lists.add(file);
                }
            }
        }
        return lists;
    }

    /**
     * Kills the processes in such a list and deletes it. Does nothing if another lab has deleted the list
     * in the meantime.
     */
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

    /** Id and start time in milliseconds since the epoch. */
    private static String toLine(ProcessHandle process) {
        return process.pid() + " " + process.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
    }

    /** The running process with this id and start time; null if there is none. */
    private static ProcessHandle findRunning(String[] pidAndStart) {
        if (pidAndStart.length < 2) {
            return null; // truncated by a crash during the write: identifies no process
        }
        return ProcessHandle.of(Long.parseLong(pidAndStart[0]))
            .filter(process -> toLine(process).equals(pidAndStart[0] + " " + pidAndStart[1]))
            .filter(ProcessHandle::isAlive)
            .orElse(null);
    }
}
