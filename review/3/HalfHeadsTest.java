package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Half-written requests arrive on some hundred connections, each head under 8 kB, beside clients with proper
 * requests. The process must live.
 */
final class HalfHeadsTest extends Case {
    private static final int WAVES = 3, CONNECTIONS = 330, BACKENDS = 6;
    private static final int HEAD_BYTES = 8_000;
    private static final String PROPER_HEAD = "Accept: */*\r\nUser-Agent: clerk\r\n";

    private int answered, unanswered;

    @Override
    boolean run() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < BACKENDS; i++) {
            discovery.set(new Backend("s-" + i, Client.SENT_IDS, record, (self, request, out) -> {
                Thread.sleep(20);
                record.write(self.id + " ran " + request.startLine);
                Backend.answer(out, 200, "done");
            }), "active");
        }
        int exitStatus = -1;
        try (ProxyProcess proxy = new ProxyProcess("n0", record)) {
            proxy.configure(discovery.address(), Settings.LIMITS, discovery.knownList(), Settings.forProxies(2));
            proxy.start();
            request(proxy);
            for (int wave = 0; wave < WAVES && exitStatus == -1; wave++) {
                List<Client> peers = connect(proxy);
                exitStatus = proxy.waitFor(trouble ? 4_000 : 1); // half a request may stay for 3 s
                for (Client peer : peers) {
                    if (!trouble) {
                        readAnswer("of the crowd", peer);
                    }
                    peer.close();
                }
                request(proxy);
            }
        }
        record.say(answered + " proper requests were answered, " + unanswered + " were not");
        record.say(exitStatus == -1 ? "the process runs" : "the process ended with status " + exitStatus);
        return exitStatus == -1;
    }

    /** Opens connections, each with a part of a request's head; without the disruption, a whole one. */
    private List<Client> connect(ProxyProcess proxy) throws InterruptedException {
        List<Client> peers = new ArrayList<>();
        StringBuilder part = new StringBuilder("GET /" + Settings.LOOKUP + "/1 HTTP/1.1\r\nHost: app.svc\r\n");
        while (part.length() < HEAD_BYTES) {
            part.append("a:b\r\n");
        }
        int sent = 0;
        try {
            for (int i = 0; i < CONNECTIONS; i++) {
                Client peer = new Client(proxy);
                peers.add(peer);
                String text = trouble ? part.toString() : Client.head("GET", Settings.LOOKUP, Client.newId(),
                    Settings.LOOKUP_DEADLINE, PROPER_HEAD);
                peer.send(text);
                record.write("connection " + peers.size() + ": " + text.length() + " bytes sent of "
                    + (trouble ? "a head that does not end" : text.split("\r\n")[0]));
                sent += text.length();
                Thread.sleep(1);
            }
        } catch (IOException e) {
            record.write("connection " + peers.size() + ": " + e);
        }
        record.say(peers.size() + " connections were opened and " + sent + " bytes sent on them");
        return peers;
    }

    private void request(ProxyProcess proxy) {
        String id = Client.newId();
        try (Client client = new Client(proxy)) {
            client.send(Client.head("GET", Settings.LOOKUP, id, Settings.LOOKUP_DEADLINE, ""));
            record.write("request " + id + " is sent");
            readAnswer(id, client);
        } catch (IOException e) {
            record.say("request " + id + ": " + e);
            unanswered++;
        }
    }

    private void readAnswer(String id, Client client) {
        try {
            Message answer = client.readAnswer(3_000);
            record.write("request " + id + ": " + (answer == null ? "closed" : answer.startLine));
            answered += answer == null ? 0 : 1;
            unanswered += answer == null ? 1 : 0;
        } catch (IOException e) {
            record.write("request " + id + ": " + e);
            unanswered++;
        }
    }

    public static void main(String[] args) {
        new HalfHeadsTest().main();
    }
}
