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
public record Calls(List<InetSocketAddress> targets, String type, double timeoutSeconds)
    implements OpenLoop.Shape {
    public Calls(InetSocketAddress target, String type, double timeoutSeconds) {
        this(List.of(target), type, timeoutSeconds);
    }

    @Override
    public InetSocketAddress target(RandomGenerator random) {
        return targets.get(random.nextInt(targets.size()));
    }

    @Override
    public FullHttpRequest request(RandomGenerator random, String id) {
        return message(type, id, timeoutSeconds, null);
    }

    /** A request that is safe to repeat; of nobody's where the tenant is null. */
    public static FullHttpRequest message(String type, String id, double timeoutSeconds, String tenant) {
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
