package dockrelay.proxy;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** A configuration cannot be used: in one line its file, the key, the value and what is allowed there. */
final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    ConfigException(Path file, Exception cause) {
        super(file + ": " + (cause instanceof NoSuchFileException ? "no such file: allowed is a configuration"
            : cause.getMessage()), cause);
    }
}
