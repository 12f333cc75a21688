package dockrelay.proxy;

import java.io.IOException;

/** Entry point of the proxy. */
public final class Main {
    private Main() {
    }

    /**
     * {@code serve} runs the proxy; {@code rehearse} starts and stops it once, so that the build can record
     * the loaded classes in the class-data archive.
     */
    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve":
                Proxy.main();
                return;
            case "rehearse":
                Proxy.runClassArchiveTraining();
                return;
            default:
                System.err.println("usage: java -jar dockrelay.jar serve|rehearse");
                System.exit(2);
        }
    }
}
