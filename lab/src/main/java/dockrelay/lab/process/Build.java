package dockrelay.lab.process;

import dockrelay.lab.spec.SpecException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** A compiled checkout of the program: its root folder, and the command that starts one proxy there. */
public record Build(Path root, String startCommand) {
    /** Reads the start command from the deploy file, as the platform does. */
    public static Build load(Path root) {
        Path deployFile = root.resolve("deploy/balancer.toml");
        try {
            TomlParseResult deploy = Toml.parse(Files.readString(deployFile));
            String startCommand = deploy.hasErrors() ? null : deploy.getString("run");
            if (startCommand == null) {
                throw new SpecException(deployFile + ": invalid TOML, or no string at key run");
            }
            return new Build(root.toAbsolutePath().normalize(), startCommand);
        } catch (IOException e) {
            throw new SpecException(deployFile + ": cannot be read: " + e.getMessage());
        }
    }
}
