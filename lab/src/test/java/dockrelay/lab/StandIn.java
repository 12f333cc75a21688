package dockrelay.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * A minimal proxy that misbehaves in the way named by the environment variable FAULT, to test the referee.
 */
public final class StandIn {
    private record Server(String id, String addr, int cell, String state, long started) {
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<Object> KEPT = new ArrayList<>();

    private final String fault = System.getenv("FAULT");
    private final Map<String, Server> servers = new ConcurrentHashMap<>();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger turn = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        new StandIn().serve();
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private void serve() throws Exception {
        watch();
        while (servers.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        HttpServer server = HttpServer.create(address(System.getenv("PROXY_LISTEN")), 1024);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/healthz", exchange -> answer(exchange, 200, ""));
        server.createContext("/", this::take);
        server.start();
        if (fault.equals("memory")) {
            for (int i = 0; i < 40; i++) {
                byte[] block = new byte[10 << 20];
                Arrays.fill(block, (byte) 1);
                KEPT.add(block);
            }
        } else if (fault.equals("descriptors")) {
            for (int i = 0; i < 400; i++) {
                KEPT.add(new java.io.FileInputStream("/dev/null"));
            }
        } else if (fault.equals("crash")) {
            TimeUnit.MILLISECONDS.sleep(1500);
            System.exit(3);
        } else if (fault.equals("deaf")) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    TimeUnit.MINUTES.sleep(1);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
    }

    private void watch() {
        Thread thread = new Thread(() -> {
            try {
                HttpResponse<Stream<String>> response =
                    client.send(HttpRequest.newBuilder(URI.create("http://"
                    + System.getenv("PROXY_DISCOVERY") + "/v1/servers?watch=1&after=0")).build(),
                    HttpResponse.BodyHandlers.ofLines());
                try (Stream<String> body = response.body()) { // closing it ends the watch
                    Stream<String> lines = body.filter(line -> !line.isBlank());
                    (fault.equals("unasked") ? lines.limit(1) : lines).forEach(this::line);
                }
            } catch (IOException | InterruptedException e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void line(String text) {
        try {
            for (JsonNode one : JSON.readTree(text).get("servers")) {
                Server server = new Server(one.get("id").asText(), one.get("addr").asText(),
                    one.get("cell").asInt(),
                    one.get("state").asText(), one.get("started_ms").asLong());
                boolean usable = server.state.equals("active") || fault.equals("drain");
                servers.compute(server.id, (id, before) -> usable ? server : null);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    /** Selects servers round-robin; with fault "cold", always the server started last. */
    private Server next() {
        List<Server> all = servers.values().stream().sorted(java.util.Comparator.comparing(Server::id))
            .toList();
        Server youngest = all.stream().max(java.util.Comparator.comparingLong(Server::started)).orElseThrow();
        return fault.equals("cold") && youngest.started > 0 ? youngest
            : all.get(Math.floorMod(turn.getAndIncrement(), all.size()));
    }

    private HttpRequest.Builder to(Server server, HttpExchange exchange, String path, String body) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + server.addr + path))
            .timeout(Duration.ofMillis(Math.max(50,
                Math.round(1000 * Double.parseDouble(exchange.getRequestHeaders()
                .getFirst("X-Timeout"))) - 20)))
            .header("X-Request-ID", exchange.getRequestHeaders().getFirst("X-Request-ID"));
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        if (key != null) {
            builder.header("Idempotency-Key", key).POST(HttpRequest.BodyPublishers.ofString(body));
        }
        return builder;
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException e) {
            return null;
        }
    }

    private void take(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().toString();
        boolean update = path.startsWith("/consignment-update");
        int number = turn.get();
        Server server = next();
        if (fault.equals("answered") && number % 20 == 0) {
            return; // leaves the request unanswered and the connection open
        }
        if (fault.equals("foreign") && number % 20 == 0) {
            send(HttpRequest.newBuilder(URI.create("http://" + server.addr + path))
                .header("X-Request-ID", "00000000deadbeef").build());
        }
        if (fault.equals("changed")) {
            path += "?x=1";
        }
        if (fault.equals("attempts") && !update && body.isEmpty()) {
            for (int i = 0; i < 6; i++) {
                send(to(next(), exchange, path, body).timeout(Duration.ofMillis(5)).build());
            }
        }
        if (fault.equals("budget") && !update && body.isEmpty()) {
            send(to(next(), exchange, path, body).timeout(Duration.ofMillis(5)).build());
        }
        if (fault.equals("repeat") && update) {
            for (Server other : servers.values()) {
                if (other.cell != server.cell) {
                    client.sendAsync(to(other, exchange, path, body).build(),
                        HttpResponse.BodyHandlers.ofString());
                    break;
                }
            }
        }
        HttpResponse<String> answer = send(to(server, exchange, path, body).build());
        if (fault.equals("refusal") && update) {
            answer(exchange, 503, "");
        } else if (fault.equals("body") && number % 20 == 0) {
            answer(exchange, 200, "made up\n");
        } else {
            answer(exchange, answer == null ? 502 : answer.statusCode(), answer == null ? "" : answer.body());
        }
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
