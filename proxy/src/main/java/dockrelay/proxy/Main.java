package dockrelay.proxy;

import java.io.IOException;

/** Starts the proxy. */
public final class Main {
    private Main() {
    }

    /** {@code serve} is the real proxy, {@code rehearse} a start of it for the build's archive of classes. */
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
