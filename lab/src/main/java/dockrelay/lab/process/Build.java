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
        Path deployFile = root.resolve("deploy/balancer.toml");
        try {
            TomlParseResult deploy = Toml.parse(Files.readString(deployFile));
            String startCommand = deploy.hasErrors() ? null : deploy.getString("run");
            if (startCommand == null) {
                throw new SpecException(deployFile + ": no text run = \"...\" in it");
            }
            return new Build(root.toAbsolutePath().normalize(), startCommand);
        } catch (IOException e) {
            throw new SpecException(deployFile + ": cannot be read: " + e.getMessage());
        }
    }
}
