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
public record SingleClassWorkload(List<InetSocketAddress> targets, String type, double timeoutSeconds)
    implements OpenLoopGenerator.Workload {
    public SingleClassWorkload(InetSocketAddress target, String type, double timeoutSeconds) {
        this(List.of(target), type, timeoutSeconds);
    }

    @Override
    public InetSocketAddress nextTarget(RandomGenerator random) {
        return targets.get(random.nextInt(targets.size()));
    }

    @Override
    public FullHttpRequest nextRequest(RandomGenerator random, String id) {
        return buildRequest(type, id, timeoutSeconds, null);
    }

    /** Builds a GET request of the class {@code type}; without a tenant header if {@code tenant} is null. */
    public static FullHttpRequest buildRequest(String type, String id, double timeoutSeconds, String tenant) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            "/" + type + "/" + id);
        message.headers().set(HttpHeaderNames.HOST, "app.svc").set("X-Request-ID", id)
            .set("X-Priority-Class", type).set("X-Timeout", String.valueOf(timeoutSeconds));
        if (tenant != null) {
            message.headers().set("X-Tenant-Id", tenant);
        }
        return message;
    }
}
