package dockrelay.lab.process;

import dockrelay.lab.spec.SpecException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** A checkout of the program that has been built: its root, and the command that starts one proxy there. */
public record Build(Path root, String startCommand) {
    /** Reads the command from the deploy file, as the platform does. */
    public static Build load(Path root) {
        Path file = root.resolve("deploy/balancer.toml");
        try {
            TomlParseResult deploy = Toml.parse(Files.readString(file));
            String run = deploy.hasErrors() ? null : deploy.getString("run");
            if (run == null) {
                throw new SpecException(file + ": no text run = \"...\" in it");
            }
            return new Build(root.toAbsolutePath().normalize(), run);
        } catch (IOException e) {
            throw new SpecException(file + ": cannot be read: " + e.getMessage());
        }
    }
}
