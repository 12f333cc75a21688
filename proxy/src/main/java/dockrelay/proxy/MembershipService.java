package dockrelay.proxy;

import dockrelay.Balancer.Agreement;
import dockrelay.Balancer.FleetView;
import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.budget.BudgetNode;
import dockrelay.fleet.group.GroupAssignment;
import dockrelay.fleet.group.GroupedMembership;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs the membership protocol with its own socket and thread, so that neither a busy event loop delays
 * its answers nor a flood of datagrams delays requests. Only a change of the member list iterates over
 * all names of the fleet.
 */
final class MembershipService implements GroupedMembership.Callbacks {
    private static final long TELL_MILLIS = 250, RETRY_MILLIS = 100, LOG_MILLIS = 200;
    /** Number of incarnations reserved per write to disk; each refuted suspicion uses one. */
    private static final long RESERVED = 10_000;
    /** Time limit for looking up a member; a caller of the console waits 1 s. */
    private static final long FIND_MILLIS = 800;
    /** Log lines are split at this length, before the log would truncate them. */
    private static final int LONGEST_LINE = 400;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
        new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Path file;
    private final Consumer<FleetView> told;
    private final PeerTransport peers;
    private final Random random;
    private final List<String> news = new ArrayList<>();
    private Config config;
    private GroupedMembership machine;
    private final Map<String, CompletableFuture<MemberStatus>> sought = new HashMap<>();
    private ScheduledFuture<?> next; // the scheduled tick; nextAt is its time
    private long nextAt;
    private long suspicions, clashes, reserved;
    private final RequestTable table;
    private BudgetService budgets; // null if no budgets are configured
    private volatile BudgetService spending; // the same object, for access from other threads
    private boolean ended;

    /**
     * The folder keeps the incarnation across restarts and may be null; the consumer receives the view
     * of the fleet.
     */
    MembershipService(Config config, Path folder, RequestTable table, Consumer<FleetView> told) {
        this.config = config;
        this.file = folder == null ? null : folder.resolve("incarnation");
        this.told = told;
        this.table = table;
        this.random = new Random(config.seed());
        this.peers = new PeerTransport(loop, config, table, this::receive);
    }

    /** Opens the socket and joins the fleet, once this process can serve. */
    void join() {
        loop.execute(() -> peers.open(RETRY_MILLIS, this::begin));
    }

    PeerTransport transport() {
        return peers;
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    private void begin() {
        // The protocol corrects an incarnation that is too low; starting from the wall clock makes that rare.
        long incarnation = Math.max(kept() + 1, System.currentTimeMillis() / 1000);
        int life = random.nextInt() | 1;
        machine = new GroupedMembership(config.name(), config.peerGroups().grouping(), incarnation, life, ProtocolTiming.DEFAULT, random,
            this, now());
        if (!config.budgets().isEmpty()) {
            budgets = new BudgetService(loop, table, config, life, new Random(random.nextLong()), this::send);
            spending = budgets;
        }
        schedule();
        loop.scheduleWithFixedDelay(this::tell, TELL_MILLIS, TELL_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::log, LOG_MILLIS, LOG_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Schedules the next tick, or moves it forward if something became due earlier. */
    private void schedule() {
        long at = machine.nextTickAt();
        if (next == null || at < nextAt && next.cancel(false)) {
            nextAt = at;
            next = loop.schedule(this::tick, Math.max(0, at - now()), TimeUnit.MICROSECONDS);
        }
    }

    private void tick() {
        next = null;
        if (!ended) {
            guarded(() -> machine.tick(now()));
            schedule();
        }
    }

    /** Logs an exception instead of letting it end the periodic tasks. */
    private static void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            Log.error("members", e);
        }
    }

    private void receive(String from, ByteBuf content) {
        if (machine != null && !ended) {
            ByteBuffer bytes = content.nioBuffer();
            if (bytes.hasRemaining() && BudgetNode.isBudgetDatagram(bytes.get(0))) {
                if (budgets != null) {
                    guarded(() -> budgets.receive(from, bytes));
                }
                return;
            }
            guarded(() -> machine.receive(now(), from, bytes));
            schedule();
        }
    }

    private void tell() {
        if (!ended) {
            if (budgets != null) {
                guarded(() -> budgets.presence(machine.memberStatuses(now())));
            }
            MembershipSnapshot standing = machine.snapshot(now());
            told.accept(new FleetView(standing.countedMembers(), standing.ownRank(), standing.budgetShare(), standing.minBudgetShare(),
                Agreement.valueOf(standing.agreement().name()), 0, config.peerGroups().grouping().isSingleGroup() ? 0
                    : Math.max(1, standing.oldestReportAge()))); // 0 stands for a single group
        }
    }

    @Override
    public void send(String to, ByteBuffer datagram) {
        peers.send(to, Unpooled.wrappedBuffer(datagram));
    }

    /**
     * Logs state changes. Suspicions and their end are only counted, since each lost datagram may cause
     * one.
     */
    @Override
    public void memberChanged(MemberStateChange change) {
        if (change.newState() == MemberState.SUSPECT) {
            suspicions++;
        } else if (change.previousState() != MemberState.SUSPECT || change.newState() != MemberState.PRESENT
            || change.restarted()) {
            news.add("at " + System.currentTimeMillis() + " " + change);
        }
    }

    private void log() {
        StringBuilder line = new StringBuilder();
        for (String one : news) {
            if (line.length() > 0 && line.length() + one.length() > LONGEST_LINE) {
                Log.write("members", line.toString());
                line.setLength(0);
            }
            line.append(line.length() == 0 ? "" : "; ").append(one);
        }
        if (line.length() > 0) {
            Log.write("members", line.toString());
        }
        news.clear();
        if (budgets != null) {
            budgets.log();
        }
        Map<String, Long> refused = machine.takeRefusalCounts();
        if (!refused.isEmpty()) {
            Log.write("members-refused", "datagrams not taken: " + refused);
        }
    }

    @Override
    public void nameConflict(String name, String why) {
        clashes++;
        Log.write("members-clash", "two processes use the name " + name + ": " + why);
    }

    private long kept() {
        try {
            return file == null || !Files.exists(file) ? 0 : Long.parseLong(Files.readString(file).trim());
        } catch (IOException | NumberFormatException e) {
            Log.write("members", "cannot read the incarnation that was kept: " + e);
            return 0;
        }
    }

    /**
     * Stores an incarnation well above the current one, so that most refutations need no write: a slow
     * disk would block this thread and make a suspected member miss datagrams as well.
     */
    @Override
    public void incarnationChanged(long own) {
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
            Log.error("members", e); // the next process learns its incarnation from the other members
        }
    }

    /** Applies a new configuration of the peers; ignored if it names this process differently. */
    void configure(Config file) {
        loop.execute(() -> guarded(() -> {
            if (!file.name().equals(config.name())) {
                Log.write("reload", "name is " + file.name() + " in the file, this process is "
                    + config.name() + "; the previous peers stay in force");
                return;
            }
            if (!file.peerGroups().same(config.peerGroups())) {
                if (machine != null) {
                    machine.configure(now(), file.peerGroups().grouping());
                    schedule();
                }
                Log.write("members", listed(file));
            }
            config = file;
            peers.configure(file);
            if (budgets != null) {
                budgets.configure(file);
            }
        }));
    }

    private String listed(Config next) {
        GroupAssignment grouping = next.peerGroups().grouping();
        String names = PeerGroups.abbreviate(next.peers().names());
        if (grouping.isSingleGroup() && config.peerGroups().grouping().isSingleGroup()) {
            return "the member list is now " + names;
        }
        long fresh = next.peers().names().stream().filter(name -> !config.peers().contains(name)).count();
        int own = grouping.groupOf(next.name());
        return "the member list now has " + grouping.memberCount() + " names, " + fresh + " added and "
            + (config.peers().size() + fresh - grouping.memberCount()) + " removed, in " + grouping.groupCount()
            + (grouping.isSingleGroup() ? " group" : " groups") + "; own group is " + grouping.label(own) + " of "
            + grouping.memberNames(own).size() + ": " + names;
    }

    /**
     * Stops spending from shared budgets, so that the shares can be returned. Runs on the event loop of
     * the request table.
     */
    void stopSpending() {
        if (spending != null) {
            spending.stopSpending();
        }
    }

    /** Announces the departure of this member, and keeps answering until the process ends. */
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

    /** The console's answer to BUDGETS: a summary line, then a line per budget. */
    CompletableFuture<String> describeBudgets() {
        return CompletableFuture.supplyAsync(() -> budgets == null || ended ? "400 no budgets are shared"
            : budgets.describe(), loop);
    }

    /** Hands the name over to the next process: it closes the socket without announcing a departure. */
    CompletableFuture<Void> handOver() {
        return CompletableFuture.runAsync(() -> {
            if (budgets != null) {
                guarded(budgets::leave);
            }
            ended = true;
            peers.close();
            // From now on the next process has the share of this member.
            told.accept(new FleetView(1, 0, 0, 0, Agreement.MINORITY, 0, 0));
        }, loop);
    }

    void close() {
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }

    /**
     * The console's answer to MEMBERS: a summary line, then a line per member of this process's group.
     */
    CompletableFuture<String> describe() {
        return answered(() -> {
            long now = now();
            MembershipSnapshot standing = machine.snapshot(now);
            GroupAssignment grouping = config.peerGroups().grouping();
            StringBuilder text = new StringBuilder(MembersText.figures(standing, machine.digest(),
                machine.healthScore(), suspicions, clashes));
            text.append(MembersText.place(standing, grouping.groupCount(),
                grouping.label(grouping.groupOf(config.name())), machine.isRepresentative()));
            for (MemberStatus row : machine.memberStatuses(now)) {
                text.append(System.lineSeparator()).append(MembersText.member(row));
            }
            return CompletableFuture.completedFuture(text.toString());
        });
    }

    /** The console's answer to GROUPS: a summary line, then a line per group. */
    CompletableFuture<String> describeGroups() {
        return answered(() -> CompletableFuture.completedFuture(MembersText.groups(machine.groupStatuses(now()))));
    }

    /**
     * The console's answer to MEMBER; the state of a member of another group is queried from that
     * group.
     */
    CompletableFuture<String> describe(String name) {
        return answered(() -> {
            GroupAssignment grouping = config.peerGroups().grouping();
            int group = grouping.groupOf(name);
            if (group < 0) {
                return CompletableFuture.completedFuture("400 " + name + " is no name of peers here");
            }
            CompletableFuture<MemberStatus> asked = sought.get(name);
            if (asked == null) {
                asked = new CompletableFuture<MemberStatus>().completeOnTimeout(null, FIND_MILLIS,
                    TimeUnit.MILLISECONDS);
                sought.put(name, asked);
                asked.whenCompleteAsync((row, failure) -> sought.remove(name), loop);
                machine.findMember(now(), name);
                schedule();
            }
            return asked.thenApply(row -> row == null ? "400 no answer of group " + grouping.label(group)
                + ": GROUPS tells whether it is heard" : "200 group=" + grouping.label(group)
                + System.lineSeparator() + MembersText.member(row));
        });
    }

    @Override
    public void memberLookupCompleted(String name, MemberStatus row) {
        CompletableFuture<MemberStatus> asked = sought.get(name);
        if (asked != null) {
            asked.complete(row);
        }
    }

    /** Computes an answer on the membership thread, or an error if the protocol is not running. */
    private CompletableFuture<String> answered(Supplier<CompletableFuture<String>> answer) {
        return CompletableFuture.supplyAsync(() -> machine != null && !ended ? answer.get()
            : CompletableFuture.completedFuture("400 not a member: " + (ended ? "the next process is"
                : "its address is taken")), loop).thenCompose(later -> later);
    }
}
