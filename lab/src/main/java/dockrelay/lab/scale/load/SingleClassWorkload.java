package dockrelay.lab.scale.load;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.random.RandomGenerator;

/** Plain requests of one class, to any of some addresses. */
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

    /** A request that is safe to repeat; of nobody's where the tenant is null. */
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
