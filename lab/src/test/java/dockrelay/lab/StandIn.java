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
    private record Server(String id, String address, int cell, String state, long startedMillis) {
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<Object> RETAINED = new ArrayList<>();

    private final String fault = System.getenv("FAULT");
    private final Map<String, Server> servers = new ConcurrentHashMap<>();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger nextIndex = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        new StandIn().start();
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private void start() throws Exception {
        watchDiscovery();
        while (servers.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        HttpServer server = HttpServer.create(parseAddress(System.getenv("PROXY_LISTEN")), 1024);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/healthz", exchange -> respond(exchange, 200, ""));
        server.createContext("/", this::handle);
        server.start();
        if (fault.equals("memory")) {
            for (int i = 0; i < 40; i++) {
                byte[] block = new byte[10 << 20];
                Arrays.fill(block, (byte) 1);
                RETAINED.add(block);
            }
        } else if (fault.equals("descriptors")) {
            for (int i = 0; i < 400; i++) {
                RETAINED.add(new java.io.FileInputStream("/dev/null"));
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

    private void watchDiscovery() {
        Thread thread = new Thread(() -> {
            try {
                HttpResponse<Stream<String>> response =
                    client.send(HttpRequest.newBuilder(URI.create("http://"
                    + System.getenv("PROXY_DISCOVERY") + "/v1/servers?watch=1&after=0")).build(),
                    HttpResponse.BodyHandlers.ofLines());
                try (Stream<String> body = response.body()) { // closing it ends the watch
                    Stream<String> lines = body.filter(line -> !line.isBlank());
                    (fault.equals("unasked") ? lines.limit(1) : lines).forEach(this::applyList);
                }
            } catch (IOException | InterruptedException e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void applyList(String json) {
        try {
            for (JsonNode entry : JSON.readTree(json).get("servers")) {
                Server server = new Server(entry.get("id").asText(), entry.get("addr").asText(),
                    entry.get("cell").asInt(),
                    entry.get("state").asText(), entry.get("started_ms").asLong());
                boolean usable = server.state.equals("active") || fault.equals("drain");
                servers.compute(server.id, (id, previous) -> usable ? server : null);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    /** Selects servers round-robin; with fault "cold", always the server started last. */
    private Server nextServer() {
        List<Server> sorted = servers.values().stream().sorted(java.util.Comparator.comparing(Server::id))
            .toList();
        Server youngest = sorted.stream().max(java.util.Comparator.comparingLong(Server::startedMillis))
            .orElseThrow();
        return fault.equals("cold") && youngest.startedMillis > 0 ? youngest
            : sorted.get(Math.floorMod(nextIndex.getAndIncrement(), sorted.size()));
    }

    private HttpRequest.Builder buildRequest(Server server, HttpExchange exchange, String path, String body) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + server.address + path))
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

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().toString();
        boolean isUpdate = path.startsWith("/consignment-update");
        int requestNumber = nextIndex.get();
        Server server = nextServer();
        if (fault.equals("answered") && requestNumber % 20 == 0) {
            return; // leaves the request unanswered and the connection open
        }
        if (fault.equals("foreign") && requestNumber % 20 == 0) {
            send(HttpRequest.newBuilder(URI.create("http://" + server.address + path))
                .header("X-Request-ID", "00000000deadbeef").build());
        }
        if (fault.equals("changed")) {
            path += "?x=1";
        }
        if (fault.equals("attempts") && !isUpdate && body.isEmpty()) {
            for (int i = 0; i < 6; i++) {
                send(buildRequest(nextServer(), exchange, path, body).timeout(Duration.ofMillis(5)).build());
            }
        }
        if (fault.equals("budget") && !isUpdate && body.isEmpty()) {
            send(buildRequest(nextServer(), exchange, path, body).timeout(Duration.ofMillis(5)).build());
        }
        if (fault.equals("repeat") && isUpdate) {
            for (Server other : servers.values()) {
                if (other.cell != server.cell) {
                    client.sendAsync(buildRequest(other, exchange, path, body).build(),
                        HttpResponse.BodyHandlers.ofString());
                    break;
                }
            }
        }
        HttpResponse<String> response = send(buildRequest(server, exchange, path, body).build());
        if (fault.equals("refusal") && isUpdate) {
            respond(exchange, 503, "");
        } else if (fault.equals("body") && requestNumber % 20 == 0) {
            respond(exchange, 200, "made up\n");
        } else {
            respond(exchange, response == null ? 502 : response.statusCode(), response == null ? ""
                : response.body());
        }
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
