package dockrelay.lab.process;

import dockrelay.lab.spec.Experiment.DiskFault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/** Injects disk faults into a folder that no process uses at the time. */
public final class DiskFaults {
    private static final int MAX_FLIPPED_BITS = 8;

    private DiskFaults() {
    }

    /**
     * Damages files of the folder as the kind of fault says. Returns a description of the damage, or of why
     * there was nothing to damage; an empty text where no fault was requested.
     */
    public static String apply(Path folder, DiskFault fault, RandomGenerator random) throws IOException {
        List<Path> files = new ArrayList<>();
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path file : paths.filter(Files::isRegularFile).sorted().toList()) {
                if (Files.size(file) > 0) {
                    files.add(file);
                }
            }
        }
        if (fault == DiskFault.WHOLE || files.isEmpty()) {
            return fault == DiskFault.WHOLE ? "" : "no file to damage in " + folder;
        }
        Path file = files.get(random.nextInt(files.size()));
        byte[] bytes = Files.readAllBytes(file);
        switch (fault) {
            case TRUNCATED -> {
                int length = random.nextInt(bytes.length);
                Files.write(file, java.util.Arrays.copyOf(bytes, length));
                return file.getFileName() + " truncated to " + length + " of " + bytes.length + " bytes";
            }
            case FLIPPED -> {
                int count = 1 + random.nextInt(MAX_FLIPPED_BITS);
                for (int i = 0; i < count; i++) {
                    bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
                }
                Files.write(file, bytes);
                return file.getFileName() + ": " + count + " bits flipped";
            }
            case REMOVED -> {
                Files.delete(file);
                return file.getFileName() + " removed";
            }
            case SWAPPED -> {
                Path other = files.get(random.nextInt(files.size()));
                byte[] otherBytes = Files.readAllBytes(other);
                Files.write(other, bytes);
                Files.write(file, otherBytes);
                return file.getFileName() + " and " + other.getFileName() + " swapped";
            }
            default -> throw new IllegalArgumentException(fault.name());
        }
    }
}
