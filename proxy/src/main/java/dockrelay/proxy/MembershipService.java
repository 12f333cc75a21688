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
    private static final long PUBLISH_INTERVAL_MILLIS = 250, BIND_RETRY_MILLIS = 100,
        LOG_INTERVAL_MILLIS = 200;
    /** Number of incarnations reserved per write to disk; each refuted suspicion uses one. */
    private static final long RESERVED_INCARNATIONS = 10_000;
    /** Time limit for looking up a member; a caller of the console waits 1 s. */
    private static final long LOOKUP_TIMEOUT_MILLIS = 800;
    /** Log lines are split at this length, before the log would truncate them. */
    private static final int MAX_LOG_LINE_LENGTH = 400;

    private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1,
        new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final Path incarnationFile;
    private final Consumer<FleetView> fleetViewConsumer;
    private final PeerTransport transport;
    private final Random random;
    private final List<String> changesToLog = new ArrayList<>();
    private Config config;
    private GroupedMembership membership;
    private final Map<String, CompletableFuture<MemberStatus>> pendingLookups = new HashMap<>();
    private ScheduledFuture<?> scheduledTick; // due at scheduledTickAt
    private long scheduledTickAt;
    private long suspicionCount, nameConflictCount, storedIncarnation;
    private final RequestTable requestTable;
    private BudgetService budgetService; // null if no budgets are configured
    private volatile BudgetService sharedBudgetService; // the same object, for access from other threads
    private boolean handedOver;

    /**
     * The folder keeps the incarnation across restarts and may be null; the consumer receives the view
     * of the fleet.
     */
    MembershipService(Config config, Path folder, RequestTable requestTable,
                      Consumer<FleetView> fleetViewConsumer) {
        this.config = config;
        this.incarnationFile = folder == null ? null : folder.resolve("incarnation");
        this.fleetViewConsumer = fleetViewConsumer;
        this.requestTable = requestTable;
        this.random = new Random(config.seed());
        this.transport = new PeerTransport(eventLoop, config, requestTable, this::receive);
    }

    /** Opens the socket and joins the fleet, once this process can serve. */
    void join() {
        eventLoop.execute(() -> transport.open(BIND_RETRY_MILLIS, this::start));
    }

    PeerTransport transport() {
        return transport;
    }

    private static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    private void start() {
        // The protocol corrects an incarnation that is too low; starting from the wall clock makes that rare.
        long incarnation = Math.max(readStoredIncarnation() + 1, System.currentTimeMillis() / 1000);
        int instanceId = random.nextInt() | 1;
        membership = new GroupedMembership(config.name(), config.peerGroups().assignment(), incarnation,
            instanceId, ProtocolTiming.DEFAULT, random, this, nowMicros());
        if (!config.budgets().isEmpty()) {
            budgetService = new BudgetService(eventLoop, requestTable, config, instanceId,
                new Random(random.nextLong()), this::send);
            sharedBudgetService = budgetService;
        }
        scheduleTick();
        eventLoop.scheduleWithFixedDelay(this::publishFleetView, PUBLISH_INTERVAL_MILLIS,
            PUBLISH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop.scheduleWithFixedDelay(this::writeLog, LOG_INTERVAL_MILLIS, LOG_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
    }

    /** Schedules the next tick, or moves it forward if something became due earlier. */
    private void scheduleTick() {
        long tickAt = membership.nextTickAt();
        if (scheduledTick == null || tickAt < scheduledTickAt && scheduledTick.cancel(false)) {
            scheduledTickAt = tickAt;
            scheduledTick = eventLoop.schedule(this::tick, Math.max(0, tickAt - nowMicros()),
                TimeUnit.MICROSECONDS);
        }
    }

    private void tick() {
        scheduledTick = null;
        if (!handedOver) {
            runGuarded(() -> membership.tick(nowMicros()));
            scheduleTick();
        }
    }

    /** Logs an exception instead of letting it end the periodic tasks. */
    private static void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            Log.error("members", e);
        }
    }

    private void receive(String senderName, ByteBuf content) {
        if (membership != null && !handedOver) {
            ByteBuffer bytes = content.nioBuffer();
            if (bytes.hasRemaining() && BudgetNode.isBudgetDatagram(bytes.get(0))) {
                if (budgetService != null) {
                    runGuarded(() -> budgetService.receive(senderName, bytes));
                }
                return;
            }
            runGuarded(() -> membership.receive(nowMicros(), senderName, bytes));
            scheduleTick();
        }
    }

    private void publishFleetView() {
        if (!handedOver) {
            if (budgetService != null) {
                runGuarded(() -> budgetService.updatePresence(membership.memberStatuses(nowMicros())));
            }
            MembershipSnapshot snapshot = membership.snapshot(nowMicros());
            // An age of 0 stands for a single group.
            fleetViewConsumer.accept(new FleetView(snapshot.countedMembers(), snapshot.ownRank(),
                snapshot.budgetShare(), snapshot.minBudgetShare(),
                Agreement.valueOf(snapshot.agreement().name()), 0,
                config.peerGroups().assignment().isSingleGroup() ? 0
                    : Math.max(1, snapshot.oldestReportAge())));
        }
    }

    @Override
    public void send(String memberName, ByteBuffer datagram) {
        transport.send(memberName, Unpooled.wrappedBuffer(datagram));
    }

    /**
     * Logs state changes. Suspicions and their end are only counted, since each lost datagram may cause
     * one.
     */
    @Override
    public void memberChanged(MemberStateChange change) {
        if (change.newState() == MemberState.SUSPECT) {
            suspicionCount++;
        } else if (change.previousState() != MemberState.SUSPECT || change.newState() != MemberState.PRESENT
            || change.restarted()) {
            changesToLog.add("at " + System.currentTimeMillis() + " " + change);
        }
    }

    private void writeLog() {
        StringBuilder line = new StringBuilder();
        for (String change : changesToLog) {
            if (line.length() > 0 && line.length() + change.length() > MAX_LOG_LINE_LENGTH) {
                Log.write("members", line.toString());
                line.setLength(0);
            }
            line.append(line.length() == 0 ? "" : "; ").append(change);
        }
        if (line.length() > 0) {
            Log.write("members", line.toString());
        }
        changesToLog.clear();
        if (budgetService != null) {
            budgetService.logRefusals();
        }
        Map<String, Long> refusalCounts = membership.takeRefusalCounts();
        if (!refusalCounts.isEmpty()) {
            Log.write("members-refused", "datagrams not taken: " + refusalCounts);
        }
    }

    @Override
    public void nameConflict(String name, String reason) {
        nameConflictCount++;
        Log.write("members-clash", "two processes use the name " + name + ": " + reason);
    }

    /** The incarnation stored by this or an earlier process; 0 if there is none. */
    private long readStoredIncarnation() {
        try {
            return incarnationFile == null || !Files.exists(incarnationFile) ? 0
                : Long.parseLong(Files.readString(incarnationFile).trim());
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
    public void incarnationChanged(long newIncarnation) {
        if (incarnationFile == null || newIncarnation <= storedIncarnation) {
            return;
        }
        storedIncarnation = newIncarnation + RESERVED_INCARNATIONS;
        try {
            Files.createDirectories(incarnationFile.getParent());
            Path temporaryFile = incarnationFile.resolveSibling("incarnation.part");
            Files.writeString(temporaryFile, storedIncarnation + "\n", StandardCharsets.US_ASCII);
            Files.move(temporaryFile, incarnationFile, StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Log.error("members", e); // the next process learns its incarnation from the other members
        }
    }

    /** Applies a new configuration of the peers; ignored if it names this process differently. */
    void configure(Config newConfig) {
        eventLoop.execute(() -> runGuarded(() -> {
            if (!newConfig.name().equals(config.name())) {
                Log.write("reload", "name is " + newConfig.name() + " in the file, this process is "
                    + config.name() + "; the previous peers stay in force");
                return;
            }
            if (!newConfig.peerGroups().hasSameGroups(config.peerGroups())) {
                if (membership != null) {
                    membership.configure(nowMicros(), newConfig.peerGroups().assignment());
                    scheduleTick();
                }
                Log.write("members", describeListChange(newConfig));
            }
            config = newConfig;
            transport.configure(newConfig);
            if (budgetService != null) {
                budgetService.configure(newConfig);
            }
        }));
    }

    /** Describes a new member list for the log. */
    private String describeListChange(Config newConfig) {
        GroupAssignment assignment = newConfig.peerGroups().assignment();
        String names = PeerGroups.abbreviate(newConfig.peers().names());
        if (assignment.isSingleGroup() && config.peerGroups().assignment().isSingleGroup()) {
            return "the member list is now " + names;
        }
        long added = newConfig.peers().names().stream().filter(name -> !config.peers().contains(name))
            .count();
        int ownGroup = assignment.groupOf(newConfig.name());
        return "the member list now has " + assignment.memberCount() + " names, " + added + " added and "
            + (config.peers().size() + added - assignment.memberCount()) + " removed, in "
            + assignment.groupCount() + (assignment.isSingleGroup() ? " group" : " groups")
            + "; own group is " + assignment.label(ownGroup) + " of "
            + assignment.memberNames(ownGroup).size() + ": " + names;
    }

    /**
     * Stops spending from shared budgets, so that the shares can be returned. Runs on the event loop of
     * the request table.
     */
    void stopSpending() {
        if (sharedBudgetService != null) {
            sharedBudgetService.stopSpending();
        }
    }

    /** Announces the departure of this member, and keeps answering until the process ends. */
    void leave() {
        eventLoop.execute(() -> {
            if (budgetService != null) {
                runGuarded(budgetService::leave);
            }
            if (membership != null) {
                runGuarded(() -> membership.leave(nowMicros()));
            }
        });
    }

    /** The console's answer to BUDGETS: a summary line, then a line per budget. */
    CompletableFuture<String> describeBudgets() {
        return CompletableFuture.supplyAsync(() -> budgetService == null || handedOver
            ? "400 no budgets are shared" : budgetService.consoleAnswer(), eventLoop);
    }

    /** Hands the name over to the next process: it closes the socket without announcing a departure. */
    CompletableFuture<Void> handOver() {
        return CompletableFuture.runAsync(() -> {
            if (budgetService != null) {
                runGuarded(budgetService::leave);
            }
            handedOver = true;
            transport.close();
            // From now on the next process has the share of this member.
            fleetViewConsumer.accept(new FleetView(1, 0, 0, 0, Agreement.MINORITY, 0, 0));
        }, eventLoop);
    }

    void close() {
        eventLoopGroup.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }

    /**
     * The console's answer to MEMBERS: a summary line, then a line per member of this process's group.
     */
    CompletableFuture<String> describe() {
        return answerOnEventLoop(() -> {
            long now = nowMicros();
            MembershipSnapshot snapshot = membership.snapshot(now);
            GroupAssignment assignment = config.peerGroups().assignment();
            StringBuilder text = new StringBuilder(MembershipText.summary(snapshot, membership.digest(),
                membership.healthScore(), suspicionCount, nameConflictCount));
            text.append(MembershipText.groupSummary(snapshot, assignment.groupCount(),
                assignment.label(assignment.groupOf(config.name())), membership.isRepresentative()));
            for (MemberStatus status : membership.memberStatuses(now)) {
                text.append(System.lineSeparator()).append(MembershipText.memberLine(status));
            }
            return CompletableFuture.completedFuture(text.toString());
        });
    }

    /** The console's answer to GROUPS: a summary line, then a line per group. */
    CompletableFuture<String> describeGroups() {
        return answerOnEventLoop(() -> CompletableFuture.completedFuture(
            MembershipText.groupsAnswer(membership.groupStatuses(nowMicros()))));
    }

    /**
     * The console's answer to MEMBER; the state of a member of another group is queried from that
     * group.
     */
    CompletableFuture<String> describe(String name) {
        return answerOnEventLoop(() -> {
            GroupAssignment assignment = config.peerGroups().assignment();
            int group = assignment.groupOf(name);
            if (group < 0) {
                return CompletableFuture.completedFuture("400 " + name + " is no name of peers here");
            }
            CompletableFuture<MemberStatus> lookup = pendingLookups.get(name);
            if (lookup == null) {
                lookup = new CompletableFuture<MemberStatus>().completeOnTimeout(null, LOOKUP_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
                pendingLookups.put(name, lookup);
                lookup.whenCompleteAsync((status, failure) -> pendingLookups.remove(name), eventLoop);
                membership.findMember(nowMicros(), name);
                scheduleTick();
            }
            return lookup.thenApply(status -> status == null
                ? "400 no answer of group " + assignment.label(group) + ": GROUPS tells whether it is heard"
                : "200 group=" + assignment.label(group) + System.lineSeparator()
                    + MembershipText.memberLine(status));
        });
    }

    @Override
    public void memberLookupCompleted(String name, MemberStatus status) {
        CompletableFuture<MemberStatus> lookup = pendingLookups.get(name);
        if (lookup != null) {
            lookup.complete(status);
        }
    }

    /** Computes an answer on the membership thread, or an error if the protocol is not running. */
    private CompletableFuture<String> answerOnEventLoop(Supplier<CompletableFuture<String>> answer) {
        return CompletableFuture.supplyAsync(() -> membership != null && !handedOver ? answer.get()
            : CompletableFuture.completedFuture("400 not a member: " + (handedOver ? "the next process is"
                : "its address is taken")), eventLoop).thenCompose(future -> future);
    }
}
