package dockrelay.fleet;

import dockrelay.fleet.Datagram.Header;
import dockrelay.fleet.Datagram.Kind;
import dockrelay.fleet.Datagram.MemberUpdate;
import dockrelay.fleet.Datagram.RefusalReason;
import dockrelay.fleet.Datagram.ViewReport;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One member's view of its peers: the SWIM failure detector with the Lifeguard extensions.
 * docs/membership.md describes the deviations from both. This is a state machine without I/O: the owner
 * passes in the elapsed time in microseconds, sends the datagrams that are handed to {@link Callbacks}, and
 * calls {@link #tick} when it is due. Not thread-safe.
 */
public class Membership {
    private static final int INDIRECT_PROBE_HELPERS = 3, MAX_SUSPICION_CONFIRMATIONS = 3,
        EXPECTED_SUSPICION_CHECKERS = 5;
    private static final int MAX_HEALTH_SCORE = 8, MAX_UPDATES_PER_DATAGRAM = 24, MAX_CONCURRENT_PROBES = 4,
        MAX_PENDING_PINGS = 64;
    /** Protocol periods between pings to absent members, and between full state syncs to the same member. */
    private static final int ABSENT_PING_PERIODS = 5, MIN_SYNC_PERIODS = 5;
    /**
     * A name conflict is reported once incarnations of another process of the name were seen this many times,
     * each within this many periods of the one before.
     */
    private static final int CONFLICT_THRESHOLD = 3, CONFLICT_WINDOW_PERIODS = 50;
    private static final int LEAVE_FANOUT = 16;
    /**
     * A restarted process that no member answers joins after this many periods. Until then it tries to learn
     * from its peers which incarnation its name had.
     */
    private static final int JOIN_TIMEOUT_PERIODS = 5;

    /** What the owner has to do for this state machine. Called on the thread that calls the state machine. */
    public interface Callbacks {
        /** Sends a datagram to a member; delivery is not guaranteed. */
        void send(String receiver, ByteBuffer datagram);

        /** Reports that the state or the process of a member changed in this view. */
        void memberChanged(MemberStateChange change);

        /** Reports this member's own incarnation; the next start of the process must use a higher one. */
        void incarnationChanged(long incarnation);

        /**
         * Reports that another process uses a name, either this member's own or that of a peer, because of
         * its incarnations or of the address that it answers from.
         */
        void nameConflict(String name, String reason);
    }

    /** A probe in flight: a direct ping first, then indirect pings through helpers. */
    private static final class Probe {
        final int sequence;
        final Member target;
        final long receivedBefore;
        final boolean listedByTarget; // the target presumably had this member on its list
        long indirectAt, timeoutAt;
        boolean indirectSent;

        Probe(int sequence, Member target, boolean listedByTarget, long receivedBefore, long indirectAt,
            long timeoutAt) {
            this.sequence = sequence;
            this.target = target;
            this.listedByTarget = listedByTarget;
            this.receivedBefore = receivedBefore;
            this.indirectAt = indirectAt;
            this.timeoutAt = timeoutAt;
        }
    }

    /**
     * A ping that may still be acknowledged; {@code requester} is the member on whose behalf it was sent, or
     * null.
     */
    private record PendingPing(Member target, long sentAt, Member requester, int requesterSequence) {
    }

    private final String self;
    private final ProtocolTiming timing;
    private final Random random;
    private final Callbacks callbacks;
    private final GossipQueue gossipQueue = new GossipQueue();
    private final int instanceId;
    private final Map<RefusalReason, Long> refusalCounts = new EnumMap<>(RefusalReason.class);
    private final List<Probe> probes = new ArrayList<>();
    private final LinkedHashMap<Integer, PendingPing> pendingPings = new LinkedHashMap<>();
    private MemberList memberList;
    private List<Member> members;
    private Member selfMember;
    private ViewComparison viewComparison;
    private List<Member> probeOrder = new ArrayList<>();
    private long nextPeriodAt, startedAt, heartbeat, receivedDatagrams, nextTickAt, lastConflictAt,
        lastConflictReportAt = Long.MIN_VALUE / 2;
    private int lastSequence, healthScore, periodCount, conflicts, viewHash;
    private boolean hasLeft, syncedThisPeriod, checkedThisPeriod, hasJoined;

    /**
     * Starts the protocol at {@code now}. The incarnation has to be higher than any that this name had
     * before, as far as the caller knows: if peers remember a higher one, this member raises its own above
     * it.
     *
     * @param instanceId a random number other than 0 that tells this process from others of the same name
     * @throws IllegalArgumentException if {@code names} does not contain {@code self} or is not a valid list
     */
    public Membership(String self, Collection<String> names, long incarnation, int instanceId,
        ProtocolTiming timing, Random random, Callbacks callbacks, long now) {
        this.self = self;
        this.timing = timing;
        this.random = random;
        this.callbacks = callbacks;
        this.instanceId = instanceId;
        this.startedAt = now;
        // A random offset keeps members that start together from probing in lockstep.
        this.nextPeriodAt = now + (long) (random.nextDouble() * timing.period());
        this.nextTickAt = nextPeriodAt;
        this.members = List.of();
        applyMemberList(now, names);
        selfMember.incarnation = incarnation;
        selfMember.instanceId = instanceId;
        callbacks.incarnationChanged(incarnation);
        issueOwnReport(now);
    }

    /** Replaces the list of members; the state of members that are on both lists is kept. */
    public void configure(long now, Collection<String> names) {
        applyMemberList(now, names);
        issueOwnReport(now);
    }

    private void applyMemberList(long now, Collection<String> names) {
        MemberList newList = new MemberList(names);
        int ownIndex = newList.indexOf(MemberList.idOf(self));
        if (ownIndex < 0) {
            throw new IllegalArgumentException("own name \"" + self + "\" is not in the list of members");
        }
        List<Member> newMembers = new ArrayList<>();
        for (int i = 0; i < newList.size(); i++) {
            int id = newList.idAt(i);
            Member member = new Member(i, newList, now, self);
            for (Member oldMember : members) {
                if (oldMember.id == id) {
                    member.state = oldMember.state;
                    member.incarnation = oldMember.incarnation;
                    member.stateSince = oldMember.stateSince;
                    member.presenceChangedAt = oldMember.presenceChangedAt;
                    member.instanceId = oldMember.instanceId;
                    member.lastInstanceId = oldMember.lastInstanceId;
                    member.reportedBy = oldMember.reportedBy;
                    member.suspicion = oldMember.suspicion;
                    member.listsThisMember = oldMember.listsThisMember;
                    member.listedSince = oldMember.listedSince;
                }
            }
            newMembers.add(member);
        }
        for (Member oldMember : members) {
            if (newList.indexOf(oldMember.id) < 0) {
                gossipQueue.removeMember(oldMember.id);
            }
        }
        memberList = newList;
        members = newMembers;
        selfMember = members.get(ownIndex);
        viewHash = computeViewHash();
        viewComparison = new ViewComparison(memberList, members, selfMember, timing);
        probes.clear();
        pendingPings.clear();
        probeOrder = new ArrayList<>();
    }

    // --- timers

    /** Returns the time at which {@link #tick} is due next, in microseconds. */
    public long nextTickAt() {
        return nextTickAt;
    }

    /** Runs everything that is due: probe time-outs, suspicion time-outs and the protocol period. */
    public void tick(long now) {
        extendDeadlinesAfterStall(now);
        for (Iterator<Probe> iterator = probes.iterator(); iterator.hasNext();) {
            Probe probe = iterator.next();
            if (now >= probe.timeoutAt) {
                iterator.remove();
                probeTimedOut(now, probe);
            } else if (now >= probe.indirectAt && !probe.indirectSent) {
                probe.indirectSent = true;
                sendIndirectPings(now, probe);
            }
        }
        for (Member member : members) {
            if (member.suspicion != null && now >= member.suspicion.timeoutAt(1 + healthScore)) {
                if (now - member.lastAckAt < 2 * timing.period()) {
                    // It answers probes, so it will refute the suspicion once the gossip has reached it.
                    member.suspicion.extend(timing.period());
                    gossipQueue.add(new MemberUpdate(member.id, MemberState.SUSPECT, member.incarnation,
                        selfMember.id));
                } else {
                    setState(now, member, MemberState.GONE, member.incarnation, selfMember.id);
                }
            } else if (member.state == MemberState.JOINING && member != selfMember && hasJoined
                && now - Math.max(member.stateSince, startedAt) >= timing.joiningTimeout()) {
                setState(now, member, MemberState.GONE, member.incarnation, selfMember.id);
            }
        }
        if (now >= nextPeriodAt) {
            runPeriod(now);
        }
        nextTickAt = nextPeriodAt;
        for (Probe probe : probes) {
            nextTickAt = Math.min(nextTickAt, probe.indirectSent ? probe.timeoutAt : probe.indirectAt);
        }
        for (Member member : members) {
            if (member.suspicion != null) {
                nextTickAt = Math.min(nextTickAt, Math.max(now + timing.period() / 20,
                    member.suspicion.timeoutAt(1 + healthScore)));
            }
        }
    }

    /**
     * Extends the deadlines of probes and suspicions by the time in which this process did not run: peers
     * must not be blamed for answers that it could not receive.
     */
    void extendDeadlinesAfterStall(long now) {
        long stallTime = now - nextTickAt;
        if (stallTime < timing.period() / 2) {
            return;
        }
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
        for (Probe probe : probes) {
            probe.indirectAt += stallTime;
            probe.timeoutAt += stallTime;
        }
        for (Member member : members) {
            if (member.suspicion != null) {
                member.suspicion.extend(stallTime);
            }
        }
        nextPeriodAt = Math.max(nextPeriodAt, now);
        nextTickAt = now;
    }

    private void runPeriod(long now) {
        nextPeriodAt = Math.max(nextPeriodAt + timing.period(), now + timing.period() / 2);
        periodCount++;
        heartbeat++;
        syncedThisPeriod = false;
        checkedThisPeriod = false;
        if (!hasJoined && (members.size() == 1
            || now - startedAt >= JOIN_TIMEOUT_PERIODS * timing.period())) {
            markJoined(now);
        }
        issueOwnReport(now);
        viewComparison.updateDisagreements(now);
        if (hasLeft) {
            return;
        }
        if (periodCount % (1 + healthScore) == 0) { // a member in poor local health probes less often
            Member target = periodCount / (1 + healthScore) % 2 == 0 ? nextInRing() : nextInRandomOrder();
            if (target != null && probes.size() < MAX_CONCURRENT_PROBES) {
                startProbe(now, target);
            }
        }
        if (!hasJoined || periodCount % ABSENT_PING_PERIODS == 0) {
            List<Member> absentMembers = members.stream().filter(member -> member != selfMember
                && member.state != MemberState.PRESENT
                && member.state != MemberState.SUSPECT).toList();
            if (!absentMembers.isEmpty()) {
                pingAbsent(now, absentMembers.get(random.nextInt(absentMembers.size())));
            }
        }
    }

    /** Pings an absent member: it may have restarted, or a network partition may have healed. */
    void pingAbsent(long now, Member member) {
        sendPing(now, member, null, 0);
    }

    private void markJoined(long now) {
        hasJoined = true;
        if (selfMember.state == MemberState.JOINING) {
            setState(now, selfMember, MemberState.PRESENT, selfMember.incarnation, selfMember.id);
        }
    }

    /** Issues a new version of this member's own view report. */
    private void issueOwnReport(long now) {
        viewComparison.issueOwnReport(now, heartbeat, this::isStable);
    }

    /** Whether a state that has not changed for this many microseconds counts as stable. */
    boolean isStable(long unchangedFor) {
        return unchangedFor >= timing.stableAfter();
    }

    // --- probes

    /** Returns the next member on the list, as a ring, that is present or suspect; null if there is none. */
    private Member nextInRing() {
        for (int i = 1; i < members.size(); i++) {
            Member member = members.get((selfMember.index + i) % members.size());
            if (member.state == MemberState.PRESENT || member.state == MemberState.SUSPECT) {
                return member;
            }
        }
        return null;
    }

    /** Returns the next present or suspect member in a random order that covers all of them; else null. */
    private Member nextInRandomOrder() {
        for (int remainingTries = members.size(); remainingTries >= 0; remainingTries--) {
            if (probeOrder.isEmpty()) {
                probeOrder = new ArrayList<>(members);
                Collections.shuffle(probeOrder, random);
            }
            Member member = probeOrder.remove(probeOrder.size() - 1);
            if (member != selfMember && (member.state == MemberState.PRESENT
                || member.state == MemberState.SUSPECT)) {
                return member;
            }
        }
        return null;
    }

    private void startProbe(long now, Member target) {
        int multiplier = 1 + healthScore;
        int sequence = sendPing(now, target, null, 0);
        // A new list does not reach all members at once: a target that has not sent anything yet may not have
        // this member on its list, and then does not answer.
        boolean listedByTarget = target.listsThisMember
            || now - target.listedSince >= timing.joiningTimeout();
        probes.add(new Probe(sequence, target, listedByTarget, receivedDatagrams,
            now + multiplier * timing.directPingTimeout(), now + multiplier * timing.period()));
    }

    /**
     * Sends a ping and returns its sequence number.
     *
     * @param requester the member that asked for the ping, with its sequence number; null if there is none
     */
    private int sendPing(long now, Member target, Member requester, int requesterSequence) {
        int sequence = ++lastSequence;
        pendingPings.put(sequence, new PendingPing(target, now, requester, requesterSequence));
        if (pendingPings.size() > MAX_PENDING_PINGS) {
            Iterator<Integer> oldest = pendingPings.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        sendDatagram(now, Kind.PING, target, sequence, 0);
        return sequence;
    }

    private void sendIndirectPings(long now, Probe probe) {
        List<Member> candidates = new ArrayList<>(members.stream().filter(member -> member != selfMember
            && member != probe.target && member.state == MemberState.PRESENT).toList());
        Collections.shuffle(candidates, random);
        for (Member helper : candidates.subList(0, Math.min(INDIRECT_PROBE_HELPERS, candidates.size()))) {
            sendDatagram(now, Kind.PING_REQUEST, helper, probe.sequence, probe.target.id);
        }
    }

    private void probeTimedOut(long now, Probe probe) {
        if (receivedDatagrams == probe.receivedBefore) {
            // Nothing was received from any peer during the probe: the fault may be on this side.
            healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
        }
        Member target = probe.target;
        if (probe.listedByTarget && (target.state == MemberState.PRESENT
            || target.state == MemberState.SUSPECT)) {
            suspect(now, target, target.incarnation, selfMember.id);
        }
    }

    /** Starts a suspicion of a member, or adds an accuser to it. */
    private void suspect(long now, Member member, long incarnation, int accuserId) {
        if (member.suspicion == null || member.state != MemberState.SUSPECT) {
            int presentMembers = countPresent();
            int confirmations = Math.max(0, Math.min(MAX_SUSPICION_CONFIRMATIONS, presentMembers - 3));
            setState(now, member, MemberState.SUSPECT, incarnation, accuserId);
            member.suspicion = new Suspicion(now, accuserId, confirmations,
                timing.minSuspicionTime(presentMembers), timing.maxSuspicionTime(presentMembers));
            // A few of the members that learn of a suspicion by gossip check it with a probe of their own.
            if (accuserId != selfMember.id && !hasLeft && !checkedThisPeriod
                && probes.size() < MAX_CONCURRENT_PROBES
                && random.nextInt(Math.max(1, presentMembers - 2)) < EXPECTED_SUSPICION_CHECKERS) {
                checkedThisPeriod = true;
                startProbe(now, member);
            }
        } else if (member.suspicion.addAccuser(accuserId)) {
            gossipQueue.add(new MemberUpdate(member.id, MemberState.SUSPECT, incarnation, accuserId));
        }
    }

    private int countPresent() {
        return (int) members.stream().filter(member -> member.state == MemberState.PRESENT
            || member.state == MemberState.SUSPECT).count();
    }

    // --- datagrams

    /**
     * Handles a datagram from a peer. A datagram that is malformed or comes from an unknown sender is
     * counted for {@link #takeRefusalCounts} and otherwise ignored.
     *
     * @param from the member name that the sender's address has on this side; null if it has none
     */
    public void receive(long now, String from, ByteBuffer datagram) {
        extendDeadlinesAfterStall(now);
        Datagram.Decoded decoded;
        try {
            decoded = Datagram.decode(datagram);
        } catch (Datagram.DecodeException e) {
            refusalCounts.merge(e.reason, 1L, Long::sum);
            return;
        }
        Member sender = from == null || memberList.indexOf(from) < 0 ? null
            : members.get(memberList.indexOf(from));
        if (sender == null || sender == selfMember) {
            refusalCounts.merge(RefusalReason.STRANGER, 1L, Long::sum);
            return;
        }
        Header header = decoded.header();
        if (header.kind() == Kind.NAME_MISMATCH) {
            reportNameConflict(now, "member " + sender.name + " has this address listed as that of "
                + memberList.nameOrId(header.targetId()));
            return;
        }
        if (header.senderId() != sender.id) {
            refusalCounts.merge(RefusalReason.MISNAMED, 1L, Long::sum);
            sendDatagram(now, Kind.NAME_MISMATCH, sender, 0, sender.id);
            callbacks.nameConflict(memberList.nameOrId(header.senderId()), "the process at " + sender.name
                + "'s address uses this name");
            return;
        }
        receivedDatagrams++;
        sender.listsThisMember = true;
        PendingPing ping = header.kind() == Kind.ACK ? pendingPings.remove(header.sequence()) : null;
        boolean answersPing = ping != null && ping.target == sender;
        // Guards against delayed datagrams that were sent to an earlier process of this name.
        boolean forThisInstance = header.receiverInstanceId() == instanceId;
        sender.incarnationBehind = header.incarnation() < sender.incarnation;
        if (header.incarnation() >= sender.incarnation && (forThisInstance || answersPing)) {
            applySenderState(now, sender, header, answersPing);
        } else if (!forThisInstance && (sender.state == MemberState.JOINING || sender.state.isAbsent())) {
            verifyPresence(now, sender);
        }
        if (forThisInstance) {
            for (MemberUpdate update : decoded.updates()) {
                applyUpdate(now, update);
            }
        }
        switch (header.kind()) {
            case PING -> sendAck(now, sender, header);
            case ACK -> {
                if (answersPing) {
                    handleAck(now, sender, ping, header, decoded.reports());
                }
            }
            case PING_REQUEST -> {
                Member target = memberById(header.targetId());
                if (target != null && target != selfMember && !hasLeft) {
                    sendPing(now, target, sender, header.sequence());
                }
            }
            case INDIRECT_ACK -> probes.removeIf(probe -> {
                if (probe.sequence != header.sequence() || probe.target.id != header.targetId()) {
                    return false;
                }
                probe.target.lastAckAt = now;
                healthScore = Math.max(0, healthScore - 1);
                return true;
            });
            default -> { }
        }
        if (header.viewHash() != viewHash && !syncedThisPeriod
            && now - sender.lastSyncAt >= MIN_SYNC_PERIODS * timing.period()) {
            sendFullState(now, sender);
        }
    }

    /**
     * Handles a datagram from a sender that is not on this member's list but has this member on its own
     * list. A ping is acknowledged, so that the sender sees this member alive. Of the gossip only what
     * concerns this member itself is applied.
     */
    public void receiveFromUnlisted(long now, String from, ByteBuffer datagram) {
        extendDeadlinesAfterStall(now);
        try {
            Datagram.Decoded decoded = Datagram.decode(datagram);
            Header header = decoded.header();
            if (header.senderId() != MemberList.idOf(from)) {
                refusalCounts.merge(RefusalReason.MISNAMED, 1L, Long::sum);
            } else if (header.kind() == Kind.PING) {
                if (header.receiverInstanceId() == instanceId) {
                    decoded.updates().stream().filter(update -> update.memberId() == selfMember.id)
                        .forEach(update -> refute(now, update));
                }
                callbacks.send(from, new Datagram(new Header(Kind.ACK, selfMember.id, selfMember.incarnation,
                    instanceId, header.senderInstanceId(), hasLeft, viewHash, header.sequence(), 0))
                    .finish());
            }
        } catch (Datagram.DecodeException e) {
            refusalCounts.merge(e.reason, 1L, Long::sum);
        }
    }

    /**
     * Applies what a member reports about itself. A member that is not present yet becomes present only by
     * acknowledging a ping of this member.
     */
    private void applySenderState(long now, Member sender, Header header, boolean answersPing) {
        boolean newerIncarnation = header.incarnation() > sender.incarnation;
        boolean otherInstance = sender.lastInstanceId != 0
            && sender.lastInstanceId != header.senderInstanceId();
        if (header.leaving()) {
            if (sender.state != MemberState.LEFT && !otherInstance) {
                setState(now, sender, MemberState.LEFT, header.incarnation(), sender.id);
            }
            return;
        }
        if (!answersPing && (sender.state == MemberState.JOINING || sender.state.isAbsent())) {
            verifyPresence(now, sender);
            return;
        }
        // Two processes have the same incarnation: the one that started later has to take a higher one.
        sender.duplicateIncarnation = otherInstance && !newerIncarnation && sender.instanceId != 0;
        boolean restarted = otherInstance && !sender.duplicateIncarnation;
        if (restarted) {
            if (header.senderInstanceId() == sender.previousInstanceId) {
                // Detects two running processes of one name, which keep replacing each other.
                sender.conflicts = now - sender.lastConflictAt > CONFLICT_WINDOW_PERIODS * timing.period() ? 1
                    : sender.conflicts + 1;
                sender.lastConflictAt = now;
                if (sender.conflicts == CONFLICT_THRESHOLD) {
                    callbacks.nameConflict(sender.name, "two processes answer at its address");
                }
            }
            sender.previousInstanceId = sender.lastInstanceId;
        }
        if (!sender.duplicateIncarnation) {
            sender.instanceId = header.senderInstanceId();
            sender.lastInstanceId = header.senderInstanceId();
        }
        if (newerIncarnation || restarted || sender.state == MemberState.JOINING) {
            setState(now, sender, MemberState.PRESENT, header.incarnation(), sender.id, restarted);
        }
    }

    /** Pings a member that sent something although it is not present, at most once per period. */
    private void verifyPresence(long now, Member sender) {
        if (now - sender.lastVerifyAt >= timing.period() && !hasLeft) {
            sender.lastVerifyAt = now;
            sendPing(now, sender, null, 0);
        }
    }

    private void sendAck(long now, Member sender, Header header) {
        Datagram datagram = new Datagram(new Header(Kind.ACK, selfMember.id, selfMember.incarnation,
            instanceId, header.senderInstanceId(), hasLeft, viewHash, header.sequence(), 0));
        addGossip(datagram, sender);
        datagram.appendReports(viewComparison.reportsToSend(now));
        callbacks.send(sender.name, datagram.finish());
    }

    private void handleAck(long now, Member sender, PendingPing ping, Header header,
        List<ViewReport> reports) {
        sender.lastAckAt = now;
        long roundTrip = now - ping.sentAt;
        for (ViewReport report : reports) {
            if (report.reporterId() != selfMember.id) {
                viewComparison.receiveReport(now, new ViewReport(report.reporterId(), report.incarnation(),
                    report.heartbeat(), ageAfterRoundTrip(report.age(), roundTrip), report.listHash(),
                    report.memberFlags()));
            }
        }
        if (ping.requester != null) {
            sendDatagram(now, Kind.INDIRECT_ACK, ping.requester, ping.requesterSequence, sender.id);
        }
        if (probes.removeIf(probe -> probe.sequence == header.sequence())) {
            healthScore = Math.max(0, healthScore - 1);
        }
        if (!hasJoined) {
            markJoined(now);
        }
    }

    /** Adds the whole round trip to a reported age: the answer may have been composed right at its start. */
    long ageAfterRoundTrip(long age, long roundTrip) {
        return age + roundTrip;
    }

    private void sendDatagram(long now, Kind kind, Member receiver, int sequence, int targetId) {
        Datagram datagram = newDatagram(kind, receiver, sequence, targetId);
        if (kind != Kind.NAME_MISMATCH) {
            addGossip(datagram, receiver);
        }
        callbacks.send(receiver.name, datagram.finish());
    }

    private Datagram newDatagram(Kind kind, Member receiver, int sequence, int targetId) {
        return new Datagram(new Header(kind, selfMember.id, selfMember.incarnation, instanceId,
            receiver.lastInstanceId, hasLeft, viewHash, sequence, targetId));
    }

    /** Adds gossip; whatever the receiver may have to refute about itself comes first. */
    private void addGossip(Datagram datagram, Member receiver) {
        List<MemberUpdate> updates = new ArrayList<>();
        if (receiver.duplicateIncarnation || receiver.suspectedOnGoneReport) {
            updates.add(new MemberUpdate(receiver.id, MemberState.SUSPECT, receiver.incarnation,
                selfMember.id));
        } else if (receiver.state == MemberState.SUSPECT || receiver.state.isAbsent()) {
            updates.add(toUpdate(receiver));
        } else if (receiver.incarnationBehind) {
            // It restarted before anybody suspected it, and lost its stored incarnation. Until it learns the
            // higher one, peers take its view reports for old ones.
            updates.add(new MemberUpdate(receiver.id, MemberState.PRESENT, receiver.incarnation,
                selfMember.id));
        }
        updates.addAll(gossipQueue.nextUpdates(MAX_UPDATES_PER_DATAGRAM - updates.size(), members.size()));
        datagram.appendUpdates(updates, 0, MAX_UPDATES_PER_DATAGRAM);
    }

    private MemberUpdate toUpdate(Member member) {
        return new MemberUpdate(member.id, member.suspectedOnGoneReport ? MemberState.PRESENT : member.state,
            member.incarnation, MemberList.idOf(member.reportedBy));
    }

    /** Sends the full view, split over as many datagrams as it needs. */
    private void sendFullState(long now, Member receiver) {
        receiver.lastSyncAt = now;
        syncedThisPeriod = true;
        List<MemberUpdate> updates = members.stream().filter(member -> member != selfMember
            && member.state != MemberState.JOINING).map(this::toUpdate).toList();
        for (int index = 0; index < updates.size();) {
            Datagram datagram = newDatagram(Kind.SYNC, receiver, 0, 0);
            index = datagram.appendUpdates(updates, index, updates.size());
            callbacks.send(receiver.name, datagram.finish());
        }
    }

    // --- view of the peers

    /** Returns the member with this id, or null if it is not on the list. */
    private Member memberById(int id) {
        int index = memberList.indexOf(id);
        return index < 0 ? null : members.get(index);
    }

    private void applyUpdate(long now, MemberUpdate update) {
        Member member = memberById(update.memberId());
        if (member == null) {
            return; // not on this member's list
        }
        if (member == selfMember) {
            refute(now, update);
            return;
        }
        MemberState reportedState = update.state();
        if (update.incarnation() < member.incarnation || reportedState == MemberState.JOINING) {
            return;
        }
        boolean newerIncarnation = update.incarnation() > member.incarnation;
        if (newerIncarnation) {
            member.instanceId = 0; // only the member itself can tell whether it is a new process
        }
        if (!newerIncarnation && reportedState.ordinal() < member.state.ordinal()) {
            return;
        }
        if (reportedState == MemberState.SUSPECT && (newerIncarnation || member.state != MemberState.GONE
            && member.state != MemberState.LEFT)) {
            member.suspectedOnGoneReport = false;
            suspect(now, member, update.incarnation(), update.reporterId());
        } else if (requiresSuspicion(update, member.state)) {
            // After a partition each side holds the other side's members gone. That is not passed on, and the
            // member gets the time to refute it.
            suspect(now, member, update.incarnation(), update.reporterId());
            member.suspectedOnGoneReport = true;
            gossipQueue.removeMember(member.id);
        } else if (reportedState == MemberState.GONE && member.state == MemberState.SUSPECT
            && (member.suspectedOnGoneReport || member.suspicion.isRecent(now))) {
            return; // as above: the member has had no time to refute it
        } else if (newerIncarnation || reportedState != member.state) {
            setState(now, member, reportedState, update.incarnation(), update.reporterId());
        }
    }

    /** Whether an update that declares a member gone only starts a suspicion, as this view has it present. */
    boolean requiresSuspicion(MemberUpdate update, MemberState currentState) {
        return update.state() == MemberState.GONE && currentState == MemberState.PRESENT;
    }

    /** Refutes a wrong report of this member's state by taking a higher incarnation. */
    void refute(long now, MemberUpdate update) {
        boolean isWrong = update.state() != MemberState.PRESENT && update.state() != MemberState.JOINING
            && !hasLeft;
        if (update.incarnation() > selfMember.incarnation
            || isWrong && update.incarnation() == selfMember.incarnation) {
            if (update.incarnation() > selfMember.incarnation && hasJoined
                && now - startedAt > timing.joiningTimeout()) {
                conflicts = now - lastConflictAt > CONFLICT_WINDOW_PERIODS * timing.period() ? 1
                    : conflicts + 1;
                lastConflictAt = now;
                if (conflicts >= CONFLICT_THRESHOLD) {
                    reportNameConflict(now, "another process raises the incarnation of this name");
                }
            }
            if (isWrong && update.state() == MemberState.SUSPECT) {
                healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
            }
            selfMember.incarnation = update.incarnation() + 1;
            callbacks.incarnationChanged(selfMember.incarnation);
            gossipQueue.add(toUpdate(selfMember));
            issueOwnReport(now);
        }
    }

    private void reportNameConflict(long now, String reason) {
        if (now - lastConflictReportAt >= CONFLICT_WINDOW_PERIODS * timing.period()) {
            lastConflictReportAt = now;
            callbacks.nameConflict(self, reason);
        }
    }

    private void setState(long now, Member member, MemberState state, long incarnation, int reporterId) {
        setState(now, member, state, incarnation, reporterId, false);
    }

    private void setState(long now, Member member, MemberState state, long incarnation, int reporterId,
        boolean restarted) {
        MemberState previousState = member.state;
        boolean wasAbsent = previousState.isAbsent();
        member.state = state;
        viewHash = computeViewHash();
        member.incarnation = incarnation;
        member.reportedBy = memberList.nameOrId(reporterId);
        if (state != MemberState.SUSPECT) {
            member.suspicion = null;
            member.suspectedOnGoneReport = false;
        }
        if (wasAbsent != state.isAbsent() || previousState == MemberState.JOINING) {
            member.presenceChangedAt = now;
        }
        if (previousState != state) {
            member.stateSince = now;
        }
        gossipQueue.add(new MemberUpdate(member.id, state, incarnation, reporterId));
        if (previousState != state || restarted) {
            callbacks.memberChanged(new MemberStateChange(member.name, previousState, state,
                member.reportedBy, incarnation, restarted));
        }
        if (wasAbsent != state.isAbsent()) {
            issueOwnReport(now); // the own report must not lag behind the view that decisions are based on
        }
    }

    /** Leaves the fleet: announces it to a few members, which spread it by gossip. */
    public void leave(long now) {
        if (hasLeft) {
            return;
        }
        hasLeft = true;
        probes.clear();
        setState(now, selfMember, MemberState.LEFT, selfMember.incarnation, selfMember.id);
        List<Member> others = new ArrayList<>(members.stream().filter(member -> member != selfMember
            && !member.state.isAbsent()).toList());
        Collections.shuffle(others, random);
        for (Member other : others.subList(0, Math.min(LEAVE_FANOUT, others.size()))) {
            sendPing(now, other, null, 0);
        }
    }

    // --- results

    /** Returns a hash of the list and the members' states, with suspect members taken as present. */
    private int computeViewHash() {
        int hash = memberList.hash();
        for (Member member : members) {
            hash = hash * 31 + (member.state == MemberState.SUSPECT ? MemberState.PRESENT : member.state)
                .ordinal();
        }
        return hash;
    }

    /**
     * Returns the counts, agreement and budget share at {@code now}; docs/membership.md proves the share
     * safe.
     */
    public MembershipSnapshot snapshot(long now) {
        return viewComparison.snapshot(now, hasLeft);
    }

    /** Returns the status of all members, in the order of the list, for operators. */
    public List<MemberStatus> memberStatuses(long now) {
        return viewComparison.memberStatuses(now);
    }

    /** Returns a hash of the view, in hexadecimal; equal if two members have the same view. */
    public String digest() {
        return String.format("%08x", viewHash);
    }

    /** Returns the hash that {@link #digest} prints. */
    public int viewHash() {
        return viewHash;
    }

    /** Returns the state of a member that is on the list. */
    public MemberState stateOf(String name) {
        return members.get(memberList.indexOf(name)).state;
    }

    long incarnationOf(String name) {
        return members.get(memberList.indexOf(name)).incarnation;
    }

    /** Returns the local health score of Lifeguard: 0 is healthy, 8 the worst. */
    public int healthScore() {
        return healthScore;
    }

    /** Returns the number of refused datagrams by reason since the last call, and resets the counts. */
    public Map<String, Long> takeRefusalCounts() {
        Map<String, Long> result = new TreeMap<>();
        refusalCounts.forEach((reason, count) -> result.put(reason.name().toLowerCase(Locale.ROOT),
            count));
        refusalCounts.clear();
        return result;
    }

    /** Whether a datagram with this first byte belongs to this protocol; other protocols share the socket. */
    public static boolean isMembershipDatagram(byte firstByte) {
        return firstByte == Datagram.FIRST_MAGIC_BYTE;
    }
}
