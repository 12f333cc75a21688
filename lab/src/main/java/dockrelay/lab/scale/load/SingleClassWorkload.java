package dockrelay.lab.scale.load;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A workload of identical GET requests of one class, each sent to a random target. The timeout is in seconds.
 */
public record SingleClassWorkload(List<InetSocketAddress> targets, String requestClass, double timeoutSeconds)
    implements OpenLoopGenerator.Workload {
    public SingleClassWorkload(InetSocketAddress target, String requestClass, double timeoutSeconds) {
        this(List.of(target), requestClass, timeoutSeconds);
    }

    @Override
    public InetSocketAddress nextTarget(RandomGenerator random) {
        return targets.get(random.nextInt(targets.size()));
    }

    @Override
    public FullHttpRequest nextRequest(RandomGenerator random, String id) {
        return buildRequest(requestClass, id, timeoutSeconds, null);
    }

    /** Builds an idempotent GET request; without a tenant header if {@code tenant} is null. */
    public static FullHttpRequest buildRequest(String requestClass, String id, double timeoutSeconds,
        String tenant) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            "/" + requestClass + "/" + id);
        request.headers().set(HttpHeaderNames.HOST, "app.svc").set("X-Request-ID", id)
            .set("X-Priority-Class", requestClass).set("X-Timeout", String.valueOf(timeoutSeconds));
        if (tenant != null) {
            request.headers().set("X-Tenant-Id", tenant);
        }
        return request;
    }
}
