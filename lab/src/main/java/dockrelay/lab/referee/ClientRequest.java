package dockrelay.lab.referee;

import dockrelay.lab.plan.Plan.Arrival;
import java.util.ArrayList;
import java.util.List;

/** One request as a client sent it, with the proxy's attempts that it led to. Times in microseconds. */
public final class ClientRequest {
    public final String id, method, path, idempotencyKey, body;
    public final Arrival arrival;
    public final int proxy;
    public final long sentAtMicros, timeoutMicros;
    final List<Attempt> attempts = new ArrayList<>(2);

    public ClientRequest(String id, String method, String path, String idempotencyKey, String body,
        Arrival arrival, int proxy, long sentAtMicros, long timeoutMicros) {
        this.id = id;
        this.method = method;
        this.path = path;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
        this.arrival = arrival;
        this.proxy = proxy;
        this.sentAtMicros = sentAtMicros;
        this.timeoutMicros = timeoutMicros;
    }
}
