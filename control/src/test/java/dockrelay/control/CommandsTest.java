package dockrelay.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Runs the commands against fake consoles with fixed answers. */
class CommandsTest {
    private static final String SUMMARY_LINE =
        "200 present=2 of=2 agreement=%s agreeing=2 digest=%s counted=2 "
        + "share=0.5 health=0 suspicions=0 clashes=0\n";
    @TempDir
    Path folder;
    private final List<ServerSocket> consoles = new ArrayList<>();
    private String errorOutput;

    @AfterEach
    void closeConsoles() throws IOException {
        for (ServerSocket console : consoles) {
            console.close();
        }
    }

    /**
     * Starts a console that answers each line with this text, or never answers if it is null. Returns
     * its address.
     */
    private String startConsole(String answer) throws IOException {
        ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        consoles.add(server);
        Thread thread = new Thread(() -> {
            List<Socket> openSockets = new ArrayList<>();
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    openSockets.add(socket);
                    String line = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                        StandardCharsets.ISO_8859_1)).readLine();
                    if (answer != null) {
                        socket.getOutputStream().write(answer.replace("LINE", line)
                            .getBytes(StandardCharsets.ISO_8859_1));
                        socket.close();
                    }
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return "127.0.0.1:" + server.getLocalPort();
    }

    private String runCommand(int expectedExitCode, String... arguments) {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StringWriter err = new StringWriter();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            CommandLine commands = Main.commands();
            commands.setErr(new PrintWriter(err));
            assertEquals(expectedExitCode, commands.execute(arguments), () -> out + "" + err);
        } finally {
            System.setOut(originalOut);
        }
        errorOutput = err.toString().trim();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void membersCommandComparesProxies() throws Exception {
        String console1 = startConsole(SUMMARY_LINE.formatted("all", "0a")
            + "n0 present for=3.0s by=n0 incarnation=7\n"
            + "n1 present for=2.0s by=n1 incarnation=8 word=0.5s\n");
        String console2 = startConsole(SUMMARY_LINE.formatted("all", "0a")
            + "n0 present for=2.5s by=n0 incarnation=7 word=0.2s\n"
            + "n1 present for=9.0s by=n1 incarnation=8\n");
        String console3 = startConsole(SUMMARY_LINE.formatted("minority", "0b")
            + "n0 gone for=1.0s by=n1 incarnation=7\n" + "n1 present for=9.0s by=n1 incarnation=8\n");
        assertTrue(runCommand(0, "members", console1, console2).contains("all 2"));
        String differing = runCommand(1, "members", console1, console2, console3);
        assertTrue(differing.contains("minority (2)") && differing.contains("gone"), differing);
        JsonNode json = new ObjectMapper().readTree(runCommand(1, "members", "--json", console1, console3));
        assertEquals("gone", json.at("/proxies/" + console3 + "/members/n0/state").asText());
        assertEquals(false, json.get("agreed").asBoolean());
    }

    /** Digests have to agree within a group only, the counts of the whole fleet across all groups. */
    @Test
    void membersCommandComparesDigestsWithinGroups() throws Exception {
        String summaryLine = SUMMARY_LINE.trim() + " age=0.8s groups=2 group=%s speaker=yes\n";
        String console1 = startConsole(summaryLine.formatted("all", "0a", "a/1")
            + "n0 present for=3.0s by=n0 incarnation=7\n");
        String console2 = startConsole(summaryLine.formatted("all", "0b", "b/1")
            + "n1 present for=3.0s by=n1 incarnation=7\n");
        String output = runCommand(0, "members", console1, console2);
        assertTrue(output.contains("b/1, speaks") && output.contains("0.8s"), output);
        String differentDigest = startConsole(summaryLine.formatted("all", "0c", "b/1")
            + "n2 gone for=1.0s by=n1 incarnation=7\n");
        runCommand(1, "members", console1, console2, differentDigest);
        String fewerPresent = startConsole(summaryLine.formatted("all", "0b", "b/1").replace("present=2",
            "present=1"));
        runCommand(1, "members", console1, fewerPresent);
    }

    @Test
    void groupsCommandComparesProxies() throws Exception {
        String ownGroupRow =
            "a/1 fresh of=2 present=2 left=0 gone=0 counted=2 agreement=all age=%s speaker=n0\n";
        String otherGroupRow =
            "b/1 %s of=2 present=%d left=0 gone=%d counted=%d agreement=all age=1.5s%s speaker=n3\n";
        String console1 = startConsole("200 groups=2 fresh=2\n" + ownGroupRow.formatted("0.0s")
            + otherGroupRow.formatted("fresh", 2, 0, 2, ""));
        String console2 = startConsole("200 groups=2 fresh=2\n" + ownGroupRow.formatted("1.2s")
            + otherGroupRow.formatted("fresh", 2, 0, 2, ""));
        String agreeing = runCommand(0, "groups", console1, console2);
        assertTrue(agreeing.contains("up to 1.2s") && agreeing.contains("all 2"), agreeing);
        String fewerPresent = startConsole("200 groups=2 fresh=2\n" + ownGroupRow.formatted("0.1s")
            + otherGroupRow.formatted("fresh", 1, 1, 1, ""));
        String differing = runCommand(1, "groups", console1, fewerPresent);
        assertTrue(differing.contains("2 of 2") && differing.contains("1 of 2"), differing);
        JsonNode json = new ObjectMapper().readTree(runCommand(1, "groups", "--json", console1,
            fewerPresent));
        assertEquals("1", json.path("proxies").path(fewerPresent).path("groups").path("b/1").path("gone")
            .asText());
        runCommand(1, "groups", startConsole("200 groups=2 fresh=1\n" + ownGroupRow.formatted("0.1s")
            + otherGroupRow.formatted("stale", 2, 0, 2, "")));
        runCommand(1, "groups", startConsole("200 groups=2 fresh=2\n" + ownGroupRow.formatted("0.1s")
            + otherGroupRow.formatted("fresh", 2, 0, 2, " other-list")));
        String unheard = runCommand(1, "groups", startConsole("200 groups=2 fresh=1\n"
            + ownGroupRow.formatted("0.1s") + "b/1 unheard of=2\n"));
        assertTrue(unheard.contains("never") && unheard.contains("? of 2"), unheard);
        runCommand(1, "groups", console1, startConsole("400 calls are PING, DETACH ID and ATTACH ID\n"));
    }

    @Test
    void memberCommandFindsMemberByName() throws Exception {
        String row = "n3 %s for=3.0s by=n3 incarnation=7\n";
        String console1 = startConsole("200 group=b/1\n" + row.formatted("present"));
        String output = runCommand(0, "member", "n3", console1, startConsole("200 group=b/1\n"
            + row.formatted("present")));
        assertTrue(output.contains("b/1") && output.contains("present"), output);
        runCommand(1, "member", "n3", console1, startConsole("200 group=b/1\n" + row.formatted("gone")));
        String unanswered = runCommand(1, "member", "n3", console1,
            startConsole("400 no answer of group b/1: asked\n"));
        assertTrue(unanswered.contains("no answer of group b/1"), unanswered);
        JsonNode json = new ObjectMapper().readTree(runCommand(0, "member", "--json", "n3", console1));
        assertEquals("present", json.at("/proxies/" + console1 + "/members/n3/state").asText());
        runCommand(2, "member", "n 3", console1);
        assertEquals("NAME = n 3 is not 1 to 64 visible characters", errorOutput);
    }

    @Test
    void unansweredCallsAreListedWithReason() throws Exception {
        String neverAnswering = startConsole(null), serving = startConsole("200 serving\n");
        String closed = startConsole("");
        consoles.get(2).close();
        String output = runCommand(1, "ping", "--timeout", "200", neverAnswering, serving, closed);
        assertTrue(output.contains("no answer within 200 ms") && output.contains("yes: serving")
            && output.contains("cannot be reached"), output);
        Path file = Files.writeString(folder.resolve("consoles"), "# all\n" + serving + " # the one\n\n");
        assertTrue(runCommand(0, "ping", "--file", file.toString()).contains("yes: serving"));
        assertTrue(runCommand(0, "detach", "s-1", startConsole("200 LINE\n")).contains("yes: DETACH s-1"));
    }

    @Test
    void usageErrorsNameFileLineAndValue() throws Exception {
        Path file = Files.writeString(folder.resolve("consoles"), "127.0.0.1:1\nnowhere\n");
        runCommand(2, "ping", "--file", file.toString());
        assertEquals(file + ":2: nowhere is not HOST:PORT", errorOutput);
        runCommand(2, "members");
        assertTrue(errorOutput.contains("no console given"), errorOutput);
        runCommand(2, "ping", "--timeout", "0", "127.0.0.1:1");
        assertEquals("--timeout = 0 is not at least 1 ms", errorOutput);
    }
}
