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
    private static final int MAX_LINE_BYTES = 256;
    /**
     * Beyond this number the oldest connection is closed, so that idle callers cannot block the
     * console.
     */
    private static final int MAX_CONNECTIONS = 12;
    private static final long CONNECTION_TIMEOUT_MILLIS = 2_000;
    /**
     * How long an answer waits for a change to take effect. A caller waits 1 s; a change that the event
     * loop has not applied by then is stored already and is applied next.
     */
    private static final long APPLY_TIMEOUT_MILLIS = 700;

    private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1,
        new DefaultThreadFactory("console"), NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final OperatorOverrides overrides;
    private final BooleanSupplier serving;
    private final Function<String, CompletableFuture<Void>> applyChange;
    private final MembershipService membership; // null without peers
    private final Supplier<CompletableFuture<String>> budgetAnswer; // null without shared budgets
    private final Set<Channel> connections = new LinkedHashSet<>(); // oldest first
    private final Channel listener;

    /**
     * Binds the console. {@code applyChange} applies a changed backend and completes once the change
     * is in force. {@code membership} and {@code budgetAnswer} may be null; the commands about them are
     * rejected then.
     */
    Console(InetSocketAddress address, OperatorOverrides overrides, BooleanSupplier serving,
            Function<String, CompletableFuture<Void>> applyChange, MembershipService membership,
            Supplier<CompletableFuture<String>> budgetAnswer) {
        this.budgetAnswer = budgetAnswer;
        this.membership = membership;
        this.overrides = overrides;
        this.serving = serving;
        this.applyChange = applyChange;
        this.listener = new ServerBootstrap().group(eventLoop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new ConnectionHandler());
                }
            }).bind(address).syncUninterruptibly().channel();
    }

    /** Runs a task periodically on the console's thread, with a fixed delay in milliseconds. */
    void scheduleAtFixedDelay(long delayMillis, Runnable task) {
        eventLoop.scheduleWithFixedDelay(task, delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    void close() {
        eventLoopGroup.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** Executes a command line. The answer completes once the change that it confirms is in force. */
    CompletableFuture<String> execute(String line) {
        String[] words = line.split(" ", -1);
        try {
            if ("PING".equals(words[0]) && words.length == 1) {
                return CompletableFuture.completedFuture(serving.getAsBoolean() ? "200 serving"
                    : "400 not serving");
            } else if ("MEMBERS".equals(words[0]) && words.length == 1 && membership != null) {
                return membership.describe();
            } else if ("GROUPS".equals(words[0]) && words.length == 1 && membership != null) {
                return membership.describeGroups();
            } else if ("MEMBER".equals(words[0]) && membership != null) {
                return words.length == 2 && !words[1].isEmpty() ? membership.describe(words[1])
                    : CompletableFuture.completedFuture("400 usage: MEMBER NAME");
            } else if ("BUDGETS".equals(words[0]) && words.length == 1 && budgetAnswer != null) {
                return budgetAnswer.get();
            } else if ("DETACH".equals(words[0]) || "ATTACH".equals(words[0])) {
                if (words.length != 2 || words[1].isEmpty()) {
                    return CompletableFuture.completedFuture("400 usage: " + words[0] + " ID");
                } else if (!overrides.isKnown(words[1])) {
                    return CompletableFuture.completedFuture("400 no backend has that id");
                }
                boolean detaching = "DETACH".equals(words[0]);
                boolean changed = detaching ? overrides.detach(words[1]) : overrides.attach(words[1]);
                if (changed) {
                    Log.write("console", line + ": " + overrides.detachedCount() + " backends are detached");
                }
                // Also without a change: an earlier one may not be in force yet.
                return applyChange.apply(words[1])
                    .completeOnTimeout(null, APPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .thenApply(ignored -> "200 " + words[1] + (detaching ? " is out" : " is in use"));
            }
        } catch (IOException e) {
            Log.error("console", e);
            return CompletableFuture.completedFuture("400 cannot keep the change: nothing is changed");
        }
        return CompletableFuture.completedFuture("400 calls are PING, DETACH ID and ATTACH ID"
            + (membership == null ? "" : ", and MEMBERS, GROUPS and MEMBER NAME")
            + (budgetAnswer == null ? "" : ", and BUDGETS"));
    }

    /** Handles one connection. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (connections.size() >= MAX_CONNECTIONS) {
                Iterator<Channel> oldestFirst = connections.iterator();
                Channel oldest = oldestFirst.next();
                oldestFirst.remove();
                oldest.close();
            }
            connections.add(context.channel());
            eventLoop.schedule(() -> context.close(), CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (!answered) {
                answered = true;
                execute(line.toString(StandardCharsets.ISO_8859_1))
                    .thenAccept(text -> eventLoop.execute(() -> respond(context, text)));
            }
        }

        private void reject(ChannelHandlerContext context, String answer) {
            if (!answered) {
                answered = true;
                respond(context, answer);
            }
        }

        /**
         * Shuts down the output only: closing with unread input would reset the connection and lose the
         * answer.
         */
        private void respond(ChannelHandlerContext context, String answer) {
            context.writeAndFlush(Unpooled.copiedBuffer(answer + "\n", StandardCharsets.ISO_8859_1))
                .addListener((ChannelFutureListener) write -> {
                    if (write.isSuccess()) {
                        ((DuplexChannel) write.channel()).shutdownOutput();
                    } else {
                        write.channel().close();
                    }
                });
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                if (answered && ((DuplexChannel) context.channel()).isOutputShutdown()) {
                    context.close();
                } else {
                    reject(context, "400 the line has no end");
                }
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                reject(context, "400 the line is too long");
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.error("console", cause);
            }
            context.close();
        }
    }
}
