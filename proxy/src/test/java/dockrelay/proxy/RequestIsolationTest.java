package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests on the same connections, and successive configurations, do not affect each other. */
class RequestIsolationTest {
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    private Proxy proxy;

    @BeforeEach
    void start() throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true,
            Fakes.entryJson("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), 1024));
    }

    @AfterEach
    void tearDown() throws IOException {
        proxy.stop();
        discovery.close();
        backend.close();
    }

    private static String request(String method, String serviceClass, String requestId, String tenant,
                                  String timeout, String idempotencyKey) {
        return method + " /" + serviceClass + "/thing HTTP/1.1\r\nHost: app\r\nX-Priority-Class: "
            + serviceClass + "\r\nX-Request-ID: " + requestId + "\r\nX-Timeout: " + timeout + "\r\n"
            + (tenant == null ? "" : "X-Tenant-Id: " + tenant + "\r\n")
            + (idempotencyKey == null ? "" : "Idempotency-Key: " + idempotencyKey + "\r\n")
            + ("POST".equals(method) ? "Content-Length: 0\r\n" : "") + "\r\n";
    }

    private static String header(String request, String name) {
        String lowerCase = request.toLowerCase();
        int index = lowerCase.indexOf("\r\n" + name + ": ");
        return index < 0 ? null
            : request.substring(index + name.length() + 4, request.indexOf('\r', index + 2));
    }

    /** Sends the requests one after the other, or pipelined in one write. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void eachRequestIsForwardedWithItsOwnHeaders(boolean pipelined) throws Exception {
        List<String> requests = List.of(request("POST", "save", "a", "red", "4.0", "k-1"),
            request("POST", "put", "b", null, "0.7", null), request("GET", "look", "c", "blue", "2.0", null),
            request("POST", "save", "d", null, "0.9", "k-2"),
            request("POST", "put", "e", "red", "3.0", null));
        try (FakeClient client = new FakeClient(proxy)) {
            if (pipelined) {
                client.send(String.join("", requests));
            }
            for (String request : requests) {
                if (!pipelined) {
                    client.send(request);
                }
                assertEquals(200, client.readStatus());
            }
        }
        assertEquals(requests.size(), backend.requests.size());
        for (int i = 0; i < requests.size(); i++) {
            String sentRequest = requests.get(i), receivedRequest = backend.requests.get(i);
            for (String name : List.of("x-request-id", "x-priority-class", "x-tenant-id",
                "idempotency-key")) {
                assertEquals(header(sentRequest, name), header(receivedRequest, name),
                    name + " of " + receivedRequest);
            }
            double forwardedTimeout = Double.parseDouble(header(receivedRequest, "x-timeout"));
            double requestedTimeout = Double.parseDouble(header(sentRequest, "x-timeout"));
            assertTrue(forwardedTimeout > 0 && forwardedTimeout <= Math.min(requestedTimeout, 1.0),
                forwardedTimeout + " must not exceed the timeout " + requestedTimeout + " or the aim 1.0");
        }
    }

    /** A reload does not change the service classes: here, which of them are safe to retry. */
    @Test
    void reloadDoesNotChangeServiceClasses(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fakes.configJson(0, discovery.port(), 1024, "", "")
            .replace("\"at_most_once\"", "\"idempotent\""));
        proxy.reload(file);
        proxy.eventLoop().submit(() -> { }).sync();
        backend.responder = request -> "";
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(502, client.send(FakeClient.postRequest("put", "4.0")).readStatus());
        }
        assertEquals(1, backend.requests.size(), "an unsafe request must be sent once only");
    }

    /**
     * An invalid value is reported in one line with file, key, value and range, and the old value is kept.
     */
    @ParameterizedTest
    @ValueSource(strings = {
        "\"sockets\":1024|\"sockets\":3|limits.sockets = 3: allowed is a whole number of at least 34",
        "\"seed\":\"8c1f30d27a5be964\"|\"seed\":\"xyz\"|seed = \"xyz\": allowed is 1 to 16 hex digits",
        "\"Aim\":1.0|\"Aim\":\"soon\"|Services.Aim = \"soon\": allowed is a number of at least 0",
        "\"discovery\":\"127|\"discovery\":\"127.0.0.1|discovery = \"127.0.0.1",
        "\"MaxAttempts\":5|\"MaxAttempts\":0|setting missing or out of range: limits maxAttempts",
        "\"settings\":{|\"settings\":[|line 1 = "})
    void invalidValueIsReportedAndChangesNothing(String replacementAndMessage, @TempDir Path folder)
        throws Exception {
        String[] replacementParts = replacementAndMessage.split("\\|");
        Path file = folder.resolve("config.json");
        Files.writeString(file,
            Fakes.configJson(0, discovery.port(), 1024, "", "")
                .replace(replacementParts[0], replacementParts[1]));
        ConfigException error =
            assertThrows(ConfigException.class, () -> Config.read(file));
        assertTrue(error.getMessage().startsWith(file + ": " + replacementParts[2]), error.getMessage());
        assertFalse(error.getMessage().contains("\n"), error.getMessage());
        proxy.reload(file);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
        }
    }
}
