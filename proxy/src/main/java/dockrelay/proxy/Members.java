package dockrelay.proxy;

import dockrelay.Balancer.Agreement;
import dockrelay.Balancer.Fleet;
import dockrelay.fleet.Change;
import dockrelay.fleet.Membership;
import dockrelay.fleet.Pace;
import dockrelay.fleet.Row;
import dockrelay.fleet.Standing;
import dockrelay.fleet.State;
import dockrelay.fleet.budget.Budgets;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Plays the membership machine for real: its socket, its clock, its thread, so that neither a busy event loop
 * keeps it from answering nor a flood of datagrams a request from its answer.
 */
final class Members implements Membership.Actions {
    private static final long TELL_MILLIS = 250, RETRY_MILLIS = 100, LOG_MILLIS = 200;
    /** So many incarnations are taken at a time: each suspicion that is countered uses one up. */
    private static final long RESERVED = 10_000;
    /** A line of the log ends before it is cut. */
    private static final int LONGEST_LINE = 400;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
        new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Path file;
    private final Consumer<Fleet> told;
    private final Peers peers;
    private final Random random;
    private final List<String> news = new ArrayList<>();
    private Config config;
    private Membership machine;
    private long suspicions, clashes, reserved;
    private final RequestTable table;
    private FleetBudgets budgets; // null where the configuration names none
    private volatile FleetBudgets spending; // the same, for other threads
    private boolean ended;

    /** The folder outlives the process, or is null; the module is told through the consumer. */
    Members(Config config, Path folder, RequestTable table, Consumer<Fleet> told) {
        this.config = config;
        this.file = folder == null ? null : folder.resolve("incarnation");
        this.told = told;
        this.table = table;
        this.random = new Random(config.seed());
        this.peers = new Peers(loop, config, table, this::receive);
    }

    /** Joins the others, once this process can serve. */
    void join() {
        loop.execute(() -> peers.open(RETRY_MILLIS, this::begin));
    }

    Peers peers() {
        return peers;
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    private void begin() {
        // What others remember of a higher one is countered; the wall clock only makes that rare.
        long incarnation = Math.max(kept() + 1, System.currentTimeMillis() / 1000);
        int life = random.nextInt() | 1;
        machine = new Membership(config.name(), config.members(), incarnation, life, Pace.USUAL, random, this,
            now());
        if (!config.budgets().isEmpty()) {
            budgets = new FleetBudgets(loop, table, config, life, new Random(random.nextLong()), this::send);
            spending = budgets;
        }
        schedule();
        loop.scheduleWithFixedDelay(this::tell, TELL_MILLIS, TELL_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::log, LOG_MILLIS, LOG_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void schedule() {
        loop.schedule(() -> {
            if (!ended) {
                guarded(() -> machine.tick(now()));
                schedule();
            }
        }, Math.max(0, machine.nextAt() - now()), TimeUnit.MICROSECONDS);
    }

    /** Guards against one bad moment that ends it for good. */
    private static void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            Log.error("members", e);
        }
    }

    private void receive(int from, ByteBuf content) {
        if (machine != null && !ended) {
            ByteBuffer bytes = content.nioBuffer();
            if (bytes.hasRemaining() && Budgets.ours(bytes.get(0))) {
                if (budgets != null) {
                    guarded(() -> budgets.receive(from < 0 ? null : config.members().get(from), bytes));
                }
                return;
            }
            guarded(() -> machine.receive(now(), from < 0 ? null : config.members().get(from), bytes));
        }
    }

    private void tell() {
        if (!ended) {
            if (budgets != null) {
                guarded(() -> budgets.presence(machine.rows(now())));
            }
            Standing standing = machine.standing(now());
            told.accept(new Fleet(standing.members(), standing.me(), standing.share(), standing.leastShare(),
                Agreement.valueOf(standing.agreement().name()), 0, 0));
        }
    }

    @Override
    public void send(String to, ByteBuffer datagram) {
        peers.send(config.members().indexOf(to), Unpooled.wrappedBuffer(datagram));
    }

    /** Suspicions come and go with lost datagrams: they are counted, all else is told of. */
    @Override
    public void changed(Change change) {
        if (change.now() == State.SUSPECT) {
            suspicions++;
        } else if (change.before() != State.SUSPECT || change.now() != State.PRESENT
            || change.startedAnew()) {
            news.add("at " + System.currentTimeMillis() + " " + change);
        }
    }

    private void log() {
        StringBuilder line = new StringBuilder();
        for (String one : news) {
            if (line.length() > 0 && line.length() + one.length() > LONGEST_LINE) {
                Log.line("members", line.toString());
                line.setLength(0);
            }
            line.append(line.length() == 0 ? "" : "; ").append(one);
        }
        if (line.length() > 0) {
            Log.line("members", line.toString());
        }
        news.clear();
        if (budgets != null) {
            budgets.log();
        }
        Map<String, Long> refused = machine.refused();
        if (!refused.isEmpty()) {
            Log.line("members-refused", "datagrams not taken: " + refused);
        }
    }

    @Override
    public void clash(String name, String why) {
        clashes++;
        Log.line("members-clash", "two processes go by the name " + name + ": " + why);
    }

    private long kept() {
        try {
            return file == null || !Files.exists(file) ? 0 : Long.parseLong(Files.readString(file).trim());
        } catch (IOException | NumberFormatException e) {
            Log.line("members", "cannot read the incarnation that was kept: " + e);
            return 0;
        }
    }

    /** Kept is one well above: with a disk that takes its time each time, who is suspect would be deaf as
     * well. */
    @Override
    public void incarnation(long own) {
        if (file == null || own <= reserved) {
            return;
        }
        reserved = own + RESERVED;
        try {
            Files.createDirectories(file.getParent());
            Path part = file.resolveSibling("incarnation.part");
            Files.writeString(part, reserved + "\n", StandardCharsets.US_ASCII);
            Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Log.error("members", e); // the next start is told by the others
        }
    }

    /** Goes by another list of peers; where its own name or a name is not usable nothing changes. */
    void configure(Config next) {
        loop.execute(() -> guarded(() -> {
            if (machine != null && !next.members().equals(config.members())) {
                machine.configure(now(), next.members());
                Log.line("members", "the list is now " + next.members());
            }
            config = next;
            peers.configure(next);
            if (budgets != null) {
                budgets.configure(next);
            }
        }));
    }

    /**
     * On the module's thread: nothing of the fleet's budgets is spent any more, so they can be given back.
     */
    void stopSpending() {
        if (spending != null) {
            spending.stopSpending();
        }
    }

    /** Says goodbye, and goes on answering until the process ends. */
    void leave() {
        loop.execute(() -> {
            if (budgets != null) {
                guarded(budgets::leave);
            }
            if (machine != null) {
                guarded(() -> machine.leave(now()));
            }
        });
    }

    /** What the console answers of budgets: a line for all, then one a budget. */
    CompletableFuture<String> describeBudgets() {
        return CompletableFuture.supplyAsync(() -> budgets == null || ended ? "400 no budgets are shared"
            : budgets.describe(), loop);
    }

    /** Gives its place to the next process of this name: the others see one member. */
    CompletableFuture<Void> handOver() {
        return CompletableFuture.runAsync(() -> {
            if (budgets != null) {
                guarded(budgets::leave);
            }
            ended = true;
            peers.close();
            // The next process has the name's part from now on.
            told.accept(new Fleet(1, 0, 0, 0, Agreement.MINORITY, 0, 0));
        }, loop);
    }

    void close() {
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }

    /** What the console answers: a line for all, then one a member. */
    CompletableFuture<String> describe() {
        return CompletableFuture.supplyAsync(() -> {
            if (machine == null || ended) {
                return "400 not a member: " + (ended ? "the next process is" : "its address is taken");
            }
            long now = now();
            Standing standing = machine.standing(now);
            StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "200 present=%d of=%d agreement=%s "
                + "agreeing=%d digest=%s counted=%d share=%.6f health=%d suspicions=%d clashes=%d",
                    standing.present(),
                standing.configured(), standing.agreement().name().toLowerCase(Locale.ROOT),
                    standing.agreeing(),
                machine.digest(), standing.members(), standing.share(), machine.health(), suspicions,
                clashes));
            for (Row row : machine.rows(now)) {
                text.append(String.format(Locale.ROOT, "%n%s %s for=%.1fs by=%s incarnation=%d%s%s%s",
                    row.name(),
                    row.state().name().toLowerCase(Locale.ROOT), row.since() / 1e6, row.by(),
                        row.incarnation(),
                    row.wordAge() < 0 ? "" : String.format(Locale.ROOT, " word=%.1fs", row.wordAge() / 1e6),
                    row.sameList() ? "" : " other-list", row.differsIn().isEmpty() ? "" : String.format(
                        Locale.ROOT, " differs=%s for=%.1fs", String.join(",", row.differsIn()),
                        row.differsFor() / 1e6)));
            }
            return text.toString();
        }, loop);
    }
}
