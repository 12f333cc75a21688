package review2;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The platform's part: starts proxies by the run line of the deploy file, keeps the record and ends what it started. */
public final class Rig implements AutoCloseable {
    /** Exit codes of a case. */
    public static final int HELD = 0, BROKEN = 1, NOT_RUN = 2;

    /** A case ends within 120 s. */
    private static final long MAX_CASE_MILLIS = 118_000;

    private final Path root;
    private final Path temporaryFolder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    public Rig(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.temporaryFolder = Files.createTempDirectory("review-case-");
        this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll)); // also if the script is interrupted
    }

    /** A case: returns whether the rule held; throws if it couldn't run. */
    public interface Case {
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a case with the arguments ROOT and FOLDER; the environment's TROUBLE=0 leaves the disruption out. */
    public static void main(String[] arguments, Case reviewCase) throws Exception {
        int exitCode = NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Backend.startThread(() -> {
            Thread.sleep(MAX_CASE_MILLIS);
            System.out.println("RESULT: the case took too long");
            System.exit(NOT_RUN);
        });
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            try {
                rig.note("disruption: " + (trouble ? "on" : "off"));
                boolean held = reviewCase.run(rig, trouble);
                exitCode = held ? HELD : BROKEN;
                rig.note(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
            } catch (Exception e) {
                rig.note("RESULT: the case could not run: " + e);
                e.printStackTrace();
            }
        }
        System.exit(exitCode);
    }

    /** Milliseconds since the case began. */
    public double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Adds a line to the record and to standard output. */
    public synchronized void note(String text) {
        String line = line(text);
        record.println(line);
        System.out.println(line);
    }

    /** Adds a line to the record alone. */
    public synchronized void trace(String text) {
        record.println(line(text));
    }

    /** Records how a client's request ended, so long after it was sent. */
    public void traceAnswer(String id, HttpClientConnection.Answer answer, double sentAt) {
        trace(String.format(Locale.ROOT, "sent: %s at %.1f, answered: %s after %.1f ms", id, sentAt, answer,
            now() - sentAt));
    }

    private String line(String text) {
        return String.format(Locale.ROOT, "%10.1f ms  %s", now(), text);
    }

    /** A free loopback port, free at least until now. */
    public int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** A proxy process, with the address that clients connect to. */
    public final class ProxyProcess {
        public final String name;
        public final int port;
        public final Path configFile;
        public final Path log;
        private Process process;

        private ProxyProcess(String name, int port, Path configFile, Path log) {
            this.name = name;
            this.port = port;
            this.configFile = configFile;
            this.log = log;
        }

        public boolean isAlive() {
            return process.isAlive();
        }

        /** Sends a signal, named as for the command kill. */
        public void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
        }

        /** Waits until the proxy answers GET /healthz with 200. */
        public void awaitReady(long timeoutMillis) throws Exception {
            double deadline = now() + timeoutMillis;
            while (now() < deadline) {
                try (HttpClientConnection connection = new HttpClientConnection(port, 1_000)) {
                    connection.send("GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                    HttpClientConnection.Answer answer = connection.read(1_000);
                    if (answer.status == 200) {
                        note("proxy " + name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                Thread.sleep(50);
            }
            throw new IOException("proxy " + name + " is not ready in time; its log: " + Files.readString(log));
        }
    }

    /** Starts a proxy with this configuration; the platform's variables are set as the deployment page says. */
    public ProxyProcess startProxy(String name, int discoveryPort, int memoryMegabytes, int sockets, String known,
                                   String settings) throws IOException {
        int port = freePort();
        Path folder = Files.createDirectories(temporaryFolder.resolve(name));
        Path state = Files.createDirectories(folder.resolve("tmp"));
        Path configFile = folder.resolve("config.json");
        Path log = folder.resolve("log.txt");
        ProxyProcess proxy = new ProxyProcess(name, port, configFile, log);
        Files.writeString(configFile, config(name, port, discoveryPort, memoryMegabytes, sockets, known, settings));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(
            Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
            .redirectErrorStream(true).redirectOutput(log.toFile()).redirectInput(new File("/dev/null"));
        Map<String, String> environment = builder.environment();
        environment.put("PROXY_NAME", name);
        environment.put("PROXY_LISTEN", "127.0.0.1:" + port);
        environment.put("PROXY_DISCOVERY", "127.0.0.1:" + discoveryPort);
        environment.put("PROXY_CONFIG", configFile.toString());
        environment.put("TMPDIR", state.toString());
        proxy.process = builder.start();
        processes.add(proxy.process);
        note("proxy " + name + " started, process " + proxy.process.pid() + ", port " + port);
        return proxy;
    }

    /** The configuration file of a proxy. */
    public static String config(String name, int port, int discoveryPort, int memoryMegabytes, int sockets,
                                String known, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
            + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
            + memoryMegabytes + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    /** Copies the interesting lines of a proxy's log into the record. */
    public void keepLog(ProxyProcess proxy, String pattern, int maxLines) throws IOException {
        trace("lines of the log of " + proxy.name + " that match " + pattern + ":");
        Pattern compiled = Pattern.compile(pattern);
        try (Stream<String> lines = Files.lines(proxy.log, StandardCharsets.ISO_8859_1)) {
            lines.filter(text -> compiled.matcher(text).find()).limit(maxLines).forEach(text -> trace("    " + text));
        }
    }

    /** Ends all processes and removes the temporary folder. */
    private synchronized void endAll() {
        processes.forEach(Process::destroyForcibly);
        try {
            for (Process process : processes) {
                process.waitFor();
            }
            if (Files.isDirectory(temporaryFolder)) {
                try (Stream<Path> files = Files.walk(temporaryFolder)) {
                    files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
                }
            }
        } catch (IOException | InterruptedException e) {
            System.err.println("clean-up: " + e);
        }
    }

    @Override
    public void close() {
        endAll();
        record.close();
    }

    /** Opens a loopback connection. */
    static Socket connect(int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
        return socket;
    }
}
