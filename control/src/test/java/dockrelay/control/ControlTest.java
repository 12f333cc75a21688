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
class ControlTest {
    private static final String HEAD = "200 present=2 of=2 agreement=%s agreeing=2 digest=%s counted=2 "
        + "share=0.5 health=0 suspicions=0 clashes=0\n";
    @TempDir
    Path folder;
    private final List<ServerSocket> consoles = new ArrayList<>();
    private String errors;

    @AfterEach
    void end() throws IOException {
        for (ServerSocket console : consoles) {
            console.close();
        }
    }

    /**
     * Starts a console that answers each line with this text, or never answers if it is null. Returns
     * its address.
     */
    private String console(String answer) throws IOException {
        ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        consoles.add(server);
        Thread thread = new Thread(() -> {
            List<Socket> held = new ArrayList<>();
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    held.add(socket);
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

    private String run(int expected, String... arguments) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StringWriter err = new StringWriter();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            CommandLine commands = Main.commands();
            commands.setErr(new PrintWriter(err));
            assertEquals(expected, commands.execute(arguments), () -> out + "" + err);
        } finally {
            System.setOut(before);
        }
        errors = err.toString().trim();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void membersAreComparedAcrossProxies() throws Exception {
        String a = console(HEAD.formatted("all", "0a") + "n0 present for=3.0s by=n0 incarnation=7\n"
            + "n1 present for=2.0s by=n1 incarnation=8 word=0.5s\n");
        String b = console(HEAD.formatted("all", "0a") + "n0 present for=2.5s by=n0 incarnation=7 word=0.2s\n"
            + "n1 present for=9.0s by=n1 incarnation=8\n");
        String c = console(HEAD.formatted("minority", "0b") + "n0 gone for=1.0s by=n1 incarnation=7\n"
            + "n1 present for=9.0s by=n1 incarnation=8\n");
        assertTrue(run(0, "members", a, b).contains("all 2"));
        String differing = run(1, "members", a, b, c);
        assertTrue(differing.contains("minority (2)") && differing.contains("gone"), differing);
        JsonNode json = new ObjectMapper().readTree(run(1, "members", "--json", a, c));
        assertEquals("gone", json.at("/proxies/" + c + "/members/n0/state").asText());
        assertEquals(false, json.get("agreed").asBoolean());
    }

    /** Digests have to agree within a group only, the counts of the whole fleet across all groups. */
    @Test
    void membersOfSeveralGroupsAgreeWhereEachGroupDoes() throws Exception {
        String head = HEAD.trim() + " age=0.8s groups=2 group=%s speaker=yes\n";
        String a = console(head.formatted("all", "0a", "a/1") + "n0 present for=3.0s by=n0 incarnation=7\n");
        String b = console(head.formatted("all", "0b", "b/1") + "n1 present for=3.0s by=n1 incarnation=7\n");
        String told = run(0, "members", a, b);
        assertTrue(told.contains("b/1, speaks") && told.contains("0.8s"), told);
        String other = console(head.formatted("all", "0c", "b/1") + "n2 gone for=1.0s by=n1 incarnation=7\n");
        run(1, "members", a, b, other);
        String fewer = console(head.formatted("all", "0b", "b/1").replace("present=2", "present=1"));
        run(1, "members", a, fewer);
    }

    @Test
    void groupsAreComparedAcrossProxies() throws Exception {
        String own = "a/1 fresh of=2 present=2 left=0 gone=0 counted=2 agreement=all age=%s speaker=n0\n";
        String far = "b/1 %s of=2 present=%d left=0 gone=%d counted=%d agreement=all age=1.5s%s speaker=n3\n";
        String a = console("200 groups=2 fresh=2\n" + own.formatted("0.0s")
            + far.formatted("fresh", 2, 0, 2, ""));
        String b = console("200 groups=2 fresh=2\n" + own.formatted("1.2s")
            + far.formatted("fresh", 2, 0, 2, ""));
        String same = run(0, "groups", a, b);
        assertTrue(same.contains("up to 1.2s") && same.contains("all 2"), same);
        String fewer = console("200 groups=2 fresh=2\n" + own.formatted("0.1s")
            + far.formatted("fresh", 1, 1, 1, ""));
        String differing = run(1, "groups", a, fewer);
        assertTrue(differing.contains("2 of 2") && differing.contains("1 of 2"), differing);
        JsonNode json = new ObjectMapper().readTree(run(1, "groups", "--json", a, fewer));
        assertEquals("1", json.path("proxies").path(fewer).path("groups").path("b/1").path("gone").asText());
        run(1, "groups", console("200 groups=2 fresh=1\n" + own.formatted("0.1s")
            + far.formatted("stale", 2, 0, 2, "")));
        run(1, "groups", console("200 groups=2 fresh=2\n" + own.formatted("0.1s")
            + far.formatted("fresh", 2, 0, 2, " other-list")));
        String unheard = run(1, "groups", console("200 groups=2 fresh=1\n" + own.formatted("0.1s")
            + "b/1 unheard of=2\n"));
        assertTrue(unheard.contains("never") && unheard.contains("? of 2"), unheard);
        run(1, "groups", a, console("400 calls are PING, DETACH ID and ATTACH ID\n"));
    }

    @Test
    void oneMemberIsAskedForByName() throws Exception {
        String row = "n3 %s for=3.0s by=n3 incarnation=7\n";
        String a = console("200 group=b/1\n" + row.formatted("present"));
        String told = run(0, "member", "n3", a, console("200 group=b/1\n" + row.formatted("present")));
        assertTrue(told.contains("b/1") && told.contains("present"), told);
        run(1, "member", "n3", a, console("200 group=b/1\n" + row.formatted("gone")));
        String silent = run(1, "member", "n3", a, console("400 no answer of group b/1: asked\n"));
        assertTrue(silent.contains("no answer of group b/1"), silent);
        JsonNode json = new ObjectMapper().readTree(run(0, "member", "--json", "n3", a));
        assertEquals("present", json.at("/proxies/" + a + "/members/n3/state").asText());
        run(2, "member", "n 3", a);
        assertEquals("NAME = n 3 is not 1 to 64 visible characters", errors);
    }

    @Test
    void eachThatDoesNotAnswerIsNamedWithTheReason() throws Exception {
        String silent = console(null), good = console("200 serving\n");
        String away = console("");
        consoles.get(2).close();
        String told = run(1, "ping", "--timeout", "200", silent, good, away);
        assertTrue(told.contains("no answer within 200 ms") && told.contains("yes: serving")
            && told.contains("cannot be reached"), told);
        Path file = Files.writeString(folder.resolve("consoles"), "# all\n" + good + " # the one\n\n");
        assertTrue(run(0, "ping", "--file", file.toString()).contains("yes: serving"));
        assertTrue(run(0, "detach", "s-1", console("200 LINE\n")).contains("yes: DETACH s-1"));
    }

    @Test
    void misuseIsToldWithFileLineAndValue() throws Exception {
        Path file = Files.writeString(folder.resolve("consoles"), "127.0.0.1:1\nnowhere\n");
        run(2, "ping", "--file", file.toString());
        assertEquals(file + ":2: nowhere is not HOST:PORT", errors);
        run(2, "members");
        assertTrue(errors.contains("no console given"), errors);
        run(2, "ping", "--timeout", "0", "127.0.0.1:1");
        assertEquals("--timeout = 0 is not at least 1 ms", errors);
    }
}
