package dockrelay.lab.world;

import dockrelay.lab.referee.ClientRequest;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.Future;

/**
 * A client's connection to a proxy, with at most one request in flight. Owned by the client event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final FrontLoadBalancer loadBalancer;
    private final int proxy;
    private ChannelFuture connectFuture;
    private OpenLoopClients.PlannedRequest request;
    private ClientRequest currentTry;
    private Future<?> deadlineTimer;
    private boolean reused, closing;

    ClientConnection(FrontLoadBalancer loadBalancer, int proxy) {
        this.loadBalancer = loadBalancer;
        this.proxy = proxy;
    }

    void setConnectFuture(ChannelFuture future) {
        this.connectFuture = future;
    }

    int proxy() {
        return proxy;
    }

    boolean isUsable() {
        return !closing && connectFuture.channel().isActive();
    }

    void close() {
        closing = true;
        connectFuture.channel().close();
    }

    void setDeadlineTimer(Future<?> timer) {
        deadlineTimer = timer;
    }

    void send(OpenLoopClients.PlannedRequest newRequest, ClientRequest newTry, FullHttpRequest message) {
        request = newRequest;
        currentTry = newTry;
        if (connectFuture.channel().isActive()) {
            connectFuture.channel().writeAndFlush(message);
            return;
        }
        connectFuture.addListener(future -> {
            if (future.isSuccess()) {
                connectFuture.channel().writeAndFlush(message);
            } else {
                message.release();
                closing = true;
                OpenLoopClients.PlannedRequest pendingRequest = detachRequest();
                if (pendingRequest != null) {
                    pendingRequest.onUnreachable();
                }
            }
        });
    }

    /** Detaches and returns the request in flight, if any, and cancels its deadline timer. */
    private OpenLoopClients.PlannedRequest detachRequest() {
        OpenLoopClients.PlannedRequest carriedRequest = request;
        request = null;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
            deadlineTimer = null;
        }
        return carriedRequest;
    }

    void onDeadline(ClientRequest overdueTry) {
        if (request != null && currentTry == overdueTry) {
            OpenLoopClients.PlannedRequest carriedRequest = detachRequest();
            closing = true;
            connectFuture.channel().close();
            carriedRequest.onTimeout(overdueTry);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (request == null) {
            context.close(); // unsolicited response
            return;
        }
        ClientRequest answeredTry = currentTry;
        OpenLoopClients.PlannedRequest carriedRequest = detachRequest();
        if (HttpUtil.isKeepAlive(response) && response.decoderResult().isSuccess()) {
            reused = true;
            loadBalancer.release(this);
        } else {
            closing = true;
            context.close();
        }
        if (response.decoderResult().isSuccess()) {
            carriedRequest.onResponse(answeredTry, response);
        } else {
            carriedRequest.onConnectionClosed(answeredTry, false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        loadBalancer.onClosed(this);
        if (request != null) {
            ClientRequest brokenTry = currentTry;
            detachRequest().onConnectionClosed(brokenTry, reused);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
