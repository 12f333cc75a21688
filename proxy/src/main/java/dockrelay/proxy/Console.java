package dockrelay.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The operators' console: a TCP listener that takes one command line per connection and answers with
 * lines that begin with 200 or 400. It has its own thread and so answers in time even while the event
 * loop is busy.
 */
final class Console {
    private static final int LONGEST_LINE = 256;
    /**
     * Beyond this number the oldest connection is closed, so that idle callers cannot block the
     * console.
     */
    private static final int MOST_CALLERS = 12;
    private static final long CALL_MILLIS = 2_000;
    /**
     * How long an answer waits for a change to take effect. A caller waits 1 s; a change that the event
     * loop has not applied by then is stored already and is applied next.
     */
    private static final long IN_FORCE_MILLIS = 700;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
        new DefaultThreadFactory("console"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final OperatorOverrides operators;
    private final BooleanSupplier serving;
    private final Function<String, CompletableFuture<Void>> enforce;
    private final MembershipService members; // null without peers
    private final Supplier<CompletableFuture<String>> budgets; // null without shared budgets
    private final Set<Channel> callers = new LinkedHashSet<>(); // oldest first
    private final Channel listener;

    /**
     * Binds the console. {@code enforce} applies a changed backend and completes once the change is in
     * force. {@code members} and {@code budgets} may be null; the commands about them are rejected
     * then.
     */
    Console(InetSocketAddress address, OperatorOverrides operators, BooleanSupplier serving,
            Function<String, CompletableFuture<Void>> enforce, MembershipService members,
            Supplier<CompletableFuture<String>> budgets) {
        this.budgets = budgets;
        this.members = members;
        this.operators = operators;
        this.serving = serving;
        this.enforce = enforce;
        this.listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE, true, true),
                        new Call());
                }
            }).bind(address).syncUninterruptibly().channel();
    }

    /** Runs a task periodically on the console's thread, with a fixed delay in milliseconds. */
    void scheduleAtFixedDelay(long millis, Runnable look) {
        loop.scheduleWithFixedDelay(look, millis, millis, TimeUnit.MILLISECONDS);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    void close() {
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** Executes a command line. The answer completes once the change that it confirms is in force. */
    CompletableFuture<String> answer(String line) {
        String[] words = line.split(" ", -1);
        try {
            if ("PING".equals(words[0]) && words.length == 1) {
                return CompletableFuture.completedFuture(serving.getAsBoolean() ? "200 serving"
                    : "400 not serving");
            } else if ("MEMBERS".equals(words[0]) && words.length == 1 && members != null) {
                return members.describe();
            } else if ("GROUPS".equals(words[0]) && words.length == 1 && members != null) {
                return members.describeGroups();
            } else if ("MEMBER".equals(words[0]) && members != null) {
                return words.length == 2 && !words[1].isEmpty() ? members.describe(words[1])
                    : CompletableFuture.completedFuture("400 usage: MEMBER NAME");
            } else if ("BUDGETS".equals(words[0]) && words.length == 1 && budgets != null) {
                return budgets.get();
            } else if ("DETACH".equals(words[0]) || "ATTACH".equals(words[0])) {
                if (words.length != 2 || words[1].isEmpty()) {
                    return CompletableFuture.completedFuture("400 usage: " + words[0] + " ID");
                } else if (!operators.isKnown(words[1])) {
                    return CompletableFuture.completedFuture("400 no backend has that id");
                }
                boolean out = "DETACH".equals(words[0]);
                boolean changed = out ? operators.detach(words[1]) : operators.attach(words[1]);
                if (changed) {
                    Log.write("console", line + ": " + operators.out() + " backends are detached");
                }
                // Also without a change: an earlier one may not be in force yet.
                return enforce.apply(words[1]).completeOnTimeout(null, IN_FORCE_MILLIS, TimeUnit.MILLISECONDS)
                    .thenApply(done -> "200 " + words[1] + (out ? " is out" : " is in use"));
            }
        } catch (IOException e) {
            Log.error("console", e);
            return CompletableFuture.completedFuture("400 cannot keep the change: nothing is changed");
        }
        return CompletableFuture.completedFuture("400 calls are PING, DETACH ID and ATTACH ID"
            + (members == null ? "" : ", and MEMBERS, GROUPS and MEMBER NAME")
            + (budgets == null ? "" : ", and BUDGETS"));
    }

    /** Handles one connection. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (callers.size() >= MOST_CALLERS) {
                Iterator<Channel> first = callers.iterator();
                Channel longest = first.next();
                first.remove();
                longest.close();
            }
            callers.add(context.channel());
            loop.schedule(() -> context.close(), CALL_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            callers.remove(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (!answered) {
                answered = true;
                answer(line.toString(StandardCharsets.ISO_8859_1))
                    .thenAccept(text -> loop.execute(() -> say(context, text)));
            }
        }

        private void refuse(ChannelHandlerContext context, String why) {
            if (!answered) {
                answered = true;
                say(context, why);
            }
        }

        /**
         * Shuts down the output only: closing with unread input would reset the connection and lose the
         * answer.
         */
        private void say(ChannelHandlerContext context, String text) {
            context.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.ISO_8859_1))
                .addListener((ChannelFutureListener) done -> {
                    if (done.isSuccess()) {
                        ((DuplexChannel) done.channel()).shutdownOutput();
                    } else {
                        done.channel().close();
                    }
                });
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                if (answered && ((DuplexChannel) context.channel()).isOutputShutdown()) {
                    context.close();
                } else {
                    refuse(context, "400 the line has no end");
                }
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                refuse(context, "400 the line is too long");
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.error("console", cause);
            }
            context.close();
        }
    }
}
