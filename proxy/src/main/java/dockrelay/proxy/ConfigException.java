package dockrelay.proxy;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * The configuration cannot be used. The message is one line with the file, the key, the value and what is
 * allowed.
 */
final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    ConfigException(Path file, Exception cause) {
        super(file + ": " + (cause instanceof NoSuchFileException
            ? "no such file: allowed is a configuration file" : cause.getMessage()), cause);
    }
}
