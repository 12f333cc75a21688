package dockrelay.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command that starts the proxy in service. */
final class RunLine {
    /** The jar that it names, relative to the checkout. */
    static final String JAR = "proxy/target/dockrelay.jar";
    private static final Pattern LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

    private RunLine() {
    }

    /** Reads the command, a line for the shell, from a checkout's deploy file. */
    static String read(Path checkout) throws IOException {
        Matcher run = LINE.matcher(Files.readString(checkout.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run line in " + checkout);
        }
        return run.group(1);
    }
}
