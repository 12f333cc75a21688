package dockrelay.lab.world;

import dockrelay.lab.referee.ClientRequest;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.Future;

/** A client's connection to a proxy; one request is on it at a time. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final FrontLoadBalancer front;
    private final int proxy;
    private ChannelFuture opening;
    private OpenLoopClients.Request request;
    private ClientRequest one;
    private Future<?> deadline;
    private boolean reused, ended;

    ClientConnection(FrontLoadBalancer front, int proxy) {
        this.front = front;
        this.proxy = proxy;
    }

    void opening(ChannelFuture future) {
        this.opening = future;
    }

    int proxy() {
        return proxy;
    }

    boolean usable() {
        return !ended && opening.channel().isActive();
    }

    void end() {
        ended = true;
        opening.channel().close();
    }

    void deadline(Future<?> timer) {
        deadline = timer;
    }

    void send(OpenLoopClients.Request of, ClientRequest sent, FullHttpRequest message) {
        request = of;
        one = sent;
        if (opening.channel().isActive()) {
            opening.channel().writeAndFlush(message);
            return;
        }
        opening.addListener(future -> {
            if (future.isSuccess()) {
                opening.channel().writeAndFlush(message);
            } else {
                message.release();
                ended = true;
                OpenLoopClients.Request waiting = take();
                if (waiting != null) {
                    waiting.unreachable();
                }
            }
        });
    }

    /** The request that it carried, which it has no more to do with. */
    private OpenLoopClients.Request take() {
        OpenLoopClients.Request carried = request;
        request = null;
        if (deadline != null) {
            deadline.cancel(false);
            deadline = null;
        }
        return carried;
    }

    void overdue(ClientRequest which) {
        if (request != null && one == which) {
            OpenLoopClients.Request carried = take();
            ended = true;
            opening.channel().close();
            carried.unanswered(which);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (request == null) {
            context.close(); // an answer that nobody asked for
            return;
        }
        ClientRequest answered = one;
        OpenLoopClients.Request carried = take();
        if (HttpUtil.isKeepAlive(response) && response.decoderResult().isSuccess()) {
            reused = true;
            front.rest(this);
        } else {
            ended = true;
            context.close();
        }
        if (response.decoderResult().isSuccess()) {
            carried.answered(answered, response);
        } else {
            carried.broke(answered, false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ended = true;
        front.closed(this);
        if (request != null) {
            ClientRequest broken = one;
            take().broke(broken, reused);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
