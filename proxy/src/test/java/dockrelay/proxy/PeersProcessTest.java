package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.group.GroupAssignment;
import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Peers of a proxy in a separate process: the resources that they use, and reloads that change them. */
class PeersProcessTest {
    /** The number of groups of 5,700 names; 5,699 names result in as many. */
    private static final long GROUP_COUNT = Math.round(5_700.0 / GroupAssignment.DEFAULT_GROUP_SIZE);
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    @TempDir
    private Path folder;
    private Process process;
    private int port, consolePort, peerPort;

    @BeforeEach
    void freePorts() throws IOException {
        try (ServerSocket listenSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
             ServerSocket consoleSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
             DatagramSocket peerSocket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = listenSocket.getLocalPort();
            consolePort = consoleSocket.getLocalPort();
            peerPort = peerSocket.getLocalPort();
        }
        discovery.setFirstList(FakeDiscovery.listJson(2, true,
            Fakes.entryJson("s-1", backend.port(), "active")));
    }

    @AfterEach
    void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        backend.close();
        discovery.close();
    }

    /** Writes the configuration, with these keys before all others. */
    private void writeConfig(String keys) throws IOException {
        Files.writeString(folder.resolve("config.json"),
            Fakes.configJson(port, discovery.port(), 1024, "", "").replaceFirst("\\{", "{" + keys)
                .replaceFirst("\"Permissions\":\\{", "\"Permissions\":{\"Peers\":true,"));
    }

    /** Configuration keys for n0, which is this process, and for peers that do not run. */
    private String peersJson(int count, String moreKeys) {
        StringBuilder text = new StringBuilder("\"peer_listen\":\"127.0.0.1:" + peerPort + "\",\"peers\":{");
        for (int i = 0; i < count; i++) {
            text.append(i == 0 ? "" : ",").append("\"n" + i + "\":\"" + (i == 0 ? "127.0.0.1:" + peerPort
                : "127.1." + i / 250 + "." + (1 + i % 250) + ":9") + "\"");
        }
        return text + "}," + moreKeys;
    }

    private void start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
            ProcessHandle.current().info().command().orElseThrow(), "-Xmx64m", "-XX:TieredStopAtLevel=1",
            "-Xlog:class+load:file=" + folder.resolve("classes"), "-cp",
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            Main.class.getName(), "serve");
        builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("PROXY_CONSOLE", "127.0.0.1:" + consolePort);
        builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "log"));
        process = builder.start();
        Fakes.await("the proxy serves", () -> callConsole("PING").startsWith("200 "));
    }

    private String callConsole(String line) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), consolePort)) {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }

    private void reload() throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    private void awaitLog(String text) {
        Fakes.await(text, () -> readFile(folder.resolve("log")).contains(text));
    }

    private static String readFile(Path file) {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> fileNames(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(path -> path.getFileName().toString()).toList();
        }
    }

    /** Counts the UDP sockets of the process, IPv4 and IPv6. */
    private int countUdpSockets() throws IOException {
        Path processDirectory = Path.of("/proc", Long.toString(process.pid()));
        Set<String> udpInodes = new HashSet<>();
        for (String table : List.of("net/udp", "net/udp6")) {
            Files.readAllLines(processDirectory.resolve(table)).stream().skip(1)
                .forEach(line -> udpInodes.add(line.trim().split(" +")[9]));
        }
        int count = 0;
        for (String descriptor : fileNames(processDirectory.resolve("fd"))) {
            try {
                Matcher socket = Pattern.compile("socket:\\[(\\d+)\\]").matcher(Files.readSymbolicLink(
                    processDirectory.resolve("fd").resolve(descriptor)).toString());
                count += socket.matches() && udpInodes.contains(socket.group(1)) ? 1 : 0;
            } catch (java.nio.file.NoSuchFileException e) {
                continue; // closed since the listing
            }
        }
        return count;
    }

    private Set<String> peerThreads() throws IOException {
        Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
        List<String> threadNames = new ArrayList<>();
        for (String task : fileNames(tasks)) {
            try {
                threadNames.add(Files.readString(tasks.resolve(task).resolve("comm")).trim());
            } catch (java.nio.file.NoSuchFileException e) {
                continue; // thread ended since the listing; peer threads live as long as the process
            }
        }
        return threadNames.stream().filter(name -> name.startsWith("peers")).collect(Collectors.toSet());
    }

    private boolean hasIncarnationFile() throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve("tmp"))) {
            return files.anyMatch(path -> path.endsWith("incarnation"));
        }
    }

    private List<String> loadedFleetClasses() {
        return readFile(folder.resolve("classes")).lines().filter(line -> line.contains("dockrelay.fleet."))
            .toList();
    }

    /**
     * The second half starts with peers and finds each of these resources, so the checks of the first
     * half can fail.
     */
    @Test
    void withoutPeersUsesNoSocketThreadFileOrClass() throws Exception {
        writeConfig("");
        start();
        assertEquals(0, countUdpSockets());
        assertEquals(Set.of(), peerThreads());
        assertEquals(List.of(), loadedFleetClasses(), "no class of the peer protocols is loaded");
        assertFalse(hasIncarnationFile());
        assertTrue(callConsole("MEMBERS").startsWith("400 ") && callConsole("GROUPS").startsWith("400 "));
        process.destroy();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        writeConfig(peersJson(3, ""));
        start();
        Fakes.await("the membership socket is bound", () -> callConsole("MEMBERS").startsWith("200 "));
        assertEquals(1, countUdpSockets());
        assertFalse(peerThreads().isEmpty() || loadedFleetClasses().isEmpty());
        assertTrue(hasIncarnationFile());
    }

    @Test
    void reloadAppliesNewGroupsAndIgnoresInvalidFiles() throws Exception {
        writeConfig(peersJson(3, ""));
        start();
        Fakes.await("there is one group", () -> callConsole("MEMBERS").contains(" groups=1 group=1 "));
        Path file = folder.resolve("config.json");
        writeConfig(peersJson(3, "\"peer_groups\":{\"size\":20},"));
        reload();
        awaitLog("reload: " + file + ": G-SIZE: peer_groups.size is 20; allowed are 32 to 128; what was in "
            + "force stays so");
        assertTrue(callConsole("MEMBERS").contains(" groups=1 group=1 "));
        writeConfig(peersJson(4,
            "\"peer_groups\":{\"zones\":{\"a\":[\"n1\",\"n2\"],\"b\":[\"n0\",\"n3\"]}},"));
        reload();
        awaitLog("members: the member list now has 4 names, 1 added and 0 removed, in 2 groups; own group is "
            + "b/1 of 2: [n0, n1, n2, n3]");
        String members = callConsole("MEMBERS");
        assertTrue(members.contains(" groups=2 group=b/1 ") && members.contains("\nn3 ")
            && !members.contains("\nn1 "), members);
        assertTrue(callConsole("MEMBER n0").startsWith("200 group=b/1\nn0 "), callConsole("MEMBER n0"));
        assertTrue(callConsole("MEMBER n9").startsWith("400 n9 is no name of peers here"));
        assertTrue(callConsole("MEMBER").startsWith("400 usage: MEMBER NAME"));
        writeConfig("");
        reload();
        awaitLog("reload: " + file + ": no members are named, or Peers is false: those that were in force "
            + "stay so until a restart");
        assertTrue(callConsole("MEMBERS").contains(" groups=2 group=b/1 "));
        writeConfig(peersJson(2, ""));
        reload();
        awaitLog("members: the member list now has 2 names, 0 added and 2 removed, in 1 group; own group is "
            + "1 of 2: [n0, n1]");
    }

    /** Uses the heap size that `run` sets. Guards against a return of the former limit of 1,024 names. */
    @Test
    void acceptsThousandsOfPeers() throws Exception {
        writeConfig(peersJson(5_700, ""));
        start();
        Fakes.await("the membership socket is bound", () -> callConsole("MEMBERS").startsWith(
            "200 present=1 of=5700 agreement=minority "));
        String members = callConsole("MEMBERS");
        assertTrue(members.contains(" counted=5700 ") && members.contains(" groups=" + GROUP_COUNT + " "),
            members);
        assertTrue(members.lines().count() <= 1 + GroupAssignment.MAX_GROUP_SIZE,
            "members of the own group only: " + members);
        assertEquals(1 + GROUP_COUNT, callConsole("GROUPS").lines().count());
        writeConfig(peersJson(5_699, ""));
        reload();
        awaitLog("members: the member list now has 5699 names, 0 added and 1 removed, in " + GROUP_COUNT
            + " groups; own group is ");
        assertTrue(readFile(folder.resolve("log")).lines().allMatch(line -> line.length() < 600),
            "log lines are short");
    }

    @Test
    void reloadIgnoresConfigOfAnotherProxy() throws Exception {
        writeConfig(peersJson(3, ""));
        start();
        Fakes.await("there is one group", () -> callConsole("MEMBERS").startsWith("200 "));
        Path file = folder.resolve("config.json");
        Files.writeString(file, readFile(file).replace("\"name\":\"n0\"", "\"name\":\"n1\""));
        reload();
        awaitLog("reload: name is n1 in the file, this process is n0; the previous peers stay in force");
    }

    /** An invalid grouping at the start ends the process with the error message. */
    @Test
    void startFailsOnInvalidGroups() throws Exception {
        writeConfig(peersJson(3,
            "\"peer_groups\":{\"zones\":{\"a\":[\"n0\",\"n1\"],\"b\":[\"n1\",\"n2\"]}},"));
        ProcessBuilder builder = new ProcessBuilder(
            ProcessHandle.current().info().command().orElseThrow(), "-cp",
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            Main.class.getName(), "serve");
        builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
        builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "log"));
        process = builder.start();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
        assertTrue(readFile(folder.resolve("log")).contains(folder.resolve("config.json") + ": G-TWICE: "
            + "peer_groups.zones: name is \"n1\" in zone \"a\" and in zone \"b\"; name it once"));
    }
}
