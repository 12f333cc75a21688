package review2;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A client sends many requests at once on one connection. Each of them that the proxy reads has to be answered. */
final class PipelineCase {
    private static final int BACKENDS = 6, REQUESTS = 24, CONNECTIONS = 10;
    private static final long ANSWER_MILLIS = 5_000;

    private PipelineCase() {
    }

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, PipelineCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Backend(rig, "s-" + i, (request, out) -> {
                Thread.sleep(8);
                request.backend.answer(request, out);
                return true;
            }));
        }
        Discovery discovery = new Discovery(rig, backends);
        Rig.ProxyProcess proxy = rig.startProxy("n0", discovery.port, 192, 1024, discovery.wholeList(),
            Deployment.settings(2, 0, "ask", "deduplicated"));
        proxy.awaitReady(30_000);
        Thread.sleep(1_000);
        int sent = 0, answered = 0, served = 0, lost = 0;
        for (int connection = 0; connection < CONNECTIONS; connection++) {
            List<HttpClientConnection.Answer> answers = trouble ? sendAtOnce(proxy) : sendOneByOne(proxy);
            sent += REQUESTS;
            answered += answers.size();
            served += answers.stream().filter(answer -> answer.status == 200).count();
            lost += REQUESTS - answers.size();
            rig.note(REQUESTS + " requests on connection " + connection + ": " + answers.size() + " whole answers"
                + (answers.size() < REQUESTS ? ", then the proxy closed the connection" : ""));
            Thread.sleep(500);
        }
        Set<String> run = new HashSet<>();
        backends.forEach(backend -> backend.received.forEach(request -> run.add(request.id)));
        rig.note("sent " + sent + ", answered " + answered + " (served " + served + "), sent to a backend " + run.size()
            + ", closed on without an answer " + lost);
        rig.keepLog(proxy, "^improper|^close", 20);
        if (!proxy.isAlive() || served == 0) {
            throw new IllegalStateException("the proxy did not serve");
        }
        return lost == 0;
    }

    private static List<HttpClientConnection.Answer> sendAtOnce(Rig.ProxyProcess proxy) throws Exception {
        List<HttpClientConnection.Answer> answers = new ArrayList<>();
        try (HttpClientConnection connection = new HttpClientConnection(proxy.port, 1_000)) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < REQUESTS; i++) {
                requests.append(Deployment.lookup(Deployment.newId(), 1));
            }
            connection.send(requests.toString());
            HttpClientConnection.Answer answer = connection.read(ANSWER_MILLIS);
            while (answer.isWhole()) {
                answers.add(answer);
                if (answers.size() == REQUESTS) {
                    break;
                }
                answer = connection.read(ANSWER_MILLIS);
            }
        }
        return answers;
    }

    private static List<HttpClientConnection.Answer> sendOneByOne(Rig.ProxyProcess proxy) throws Exception {
        List<HttpClientConnection.Answer> answers = new ArrayList<>();
        try (HttpClientConnection connection = new HttpClientConnection(proxy.port, 1_000)) {
            for (int i = 0; i < REQUESTS; i++) {
                connection.send(Deployment.lookup(Deployment.newId(), 1));
                HttpClientConnection.Answer answer = connection.read(ANSWER_MILLIS);
                if (!answer.isWhole()) {
                    break;
                }
                answers.add(answer);
            }
        }
        return answers;
    }
}
