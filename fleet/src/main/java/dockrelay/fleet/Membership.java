package dockrelay.fleet;

import dockrelay.fleet.Datagram.Entry;
import dockrelay.fleet.Datagram.Head;
import dockrelay.fleet.Datagram.Kind;
import dockrelay.fleet.Datagram.Refusal;
import dockrelay.fleet.Datagram.Word;
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
    private static final int HELPERS = 3, CONFIRMATIONS = 3, CHECKERS = 5;
    private static final int HEALTH_WORST = 8, MOST_ENTRIES = 24, MOST_PROBES = 4, MOST_ASKED = 64;
    /** Protocol periods between pings to absent members, and between full state syncs to the same member. */
    private static final int CONTACT_PERIODS = 5, SYNC_PERIODS = 5;
    /**
     * A name conflict is reported once incarnations of another process of the name were seen this many times,
     * each within this many periods of the one before.
     */
    private static final int CLASHES = 3, CLASH_PERIODS = 50;
    private static final int GOODBYES = 16;
    /**
     * A restarted process that nobody answers joins after this many periods. Until then it tries to learn
     * from its peers which incarnation its name had.
     */
    private static final int JOIN_PERIODS = 5;

    /** What the owner has to do for this state machine. Called on the thread that calls the state machine. */
    public interface Callbacks {
        /** Sends a datagram to a member; delivery is not guaranteed. */
        void send(String to, ByteBuffer datagram);

        /** Reports that the state or the process of a member changed in this view. */
        void memberChanged(MemberStateChange change);

        /** Reports this member's own incarnation; the next start of the process must use a higher one. */
        void incarnationChanged(long own);

        /**
         * Reports that another process uses a name, either this member's own or that of a peer, because of
         * its incarnations or of the address that it answers from.
         */
        void nameConflict(String name, String why);
    }

    /** A probe in flight: a direct ping first, then indirect pings through helpers. */
    private static final class Probe {
        final int sequence;
        final Member target;
        final long heardBefore;
        final boolean known; // whether the target presumably had this member on its list at the start
        long askAt, failAt;
        boolean asked;

        Probe(int sequence, Member target, boolean known, long heardBefore, long askAt, long failAt) {
            this.sequence = sequence;
            this.target = target;
            this.known = known;
            this.heardBefore = heardBefore;
            this.askAt = askAt;
            this.failAt = failAt;
        }
    }

    /**
     * A ping that may still be acknowledged; {@code asker} is set if it was sent on behalf of another
     * member.
     */
    private record Sent(Member to, long at, Member asker, int askersSequence) {
    }

    private final String self;
    private final ProtocolTiming pace;
    private final Random random;
    private final Callbacks actions;
    private final Gossip gossip = new Gossip();
    private final int life;
    private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
    private final List<Probe> probes = new ArrayList<>();
    private final LinkedHashMap<Integer, Sent> sent = new LinkedHashMap<>();
    private MemberList roster;
    private List<Member> members;
    private Member me;
    private Outlook outlook;
    private List<Member> turns = new ArrayList<>();
    private long periodAt, startedAt, beat, heard, nextAt, lastClash, clashTold = Long.MIN_VALUE / 2;
    private int sequence, health, periods, clashes, view;
    private boolean left, syncedThisPeriod, checkedThisPeriod, joined;

    /**
     * Starts the protocol at {@code now}. The incarnation has to be higher than any that this name had
     * before, as far as the caller knows: if peers remember a higher one, this member raises its own above
     * it.
     *
     * @param life a random number other than 0 that tells this process from others of the same name
     * @throws IllegalArgumentException if {@code names} does not contain {@code self} or is not a valid list
     */
    public Membership(String self, Collection<String> names, long incarnation, int life, ProtocolTiming pace,
                      Random random, Callbacks actions, long now) {
        this.self = self;
        this.pace = pace;
        this.random = random;
        this.actions = actions;
        this.life = life;
        this.startedAt = now;
        // A random offset keeps members that start together from probing in lockstep.
        this.periodAt = now + (long) (random.nextDouble() * pace.period());
        this.nextAt = periodAt;
        this.members = List.of();
        roster(now, names);
        me.incarnation = incarnation;
        me.life = life;
        actions.incarnationChanged(incarnation);
        speak(now);
    }

    /** Replaces the list of members; the state of members that are on both lists is kept. */
    public void configure(long now, Collection<String> names) {
        roster(now, names);
        speak(now);
    }

    private void roster(long now, Collection<String> names) {
        MemberList next = new MemberList(names);
        int own = next.indexOf(MemberList.idOf(self));
        if (own < 0) {
            throw new IllegalArgumentException("own name \"" + self + "\" is not in the list of members");
        }
        List<Member> kept = new ArrayList<>();
        for (int i = 0; i < next.size(); i++) {
            int id = next.idAt(i);
            Member member = new Member(i, next, now, self);
            for (Member old : members) {
                if (old.id == id) {
                    member.state = old.state;
                    member.incarnation = old.incarnation;
                    member.since = old.since;
                    member.changedAt = old.changedAt;
                    member.life = old.life;
                    member.lastLife = old.lastLife;
                    member.by = old.by;
                    member.suspicion = old.suspicion;
                    member.knowsMe = old.knowsMe;
                    member.listedAt = old.listedAt;
                }
            }
            kept.add(member);
        }
        for (Member old : members) {
            if (next.indexOf(old.id) < 0) {
                gossip.forget(old.id);
            }
        }
        roster = next;
        members = kept;
        me = members.get(own);
        view = hashed();
        outlook = new Outlook(roster, members, me, pace);
        probes.clear();
        sent.clear();
        turns = new ArrayList<>();
    }

    // --- timers

    /** Returns the time at which {@link #tick} is due next, in microseconds. */
    public long nextTickAt() {
        return nextAt;
    }

    /** Runs everything that is due: probe time-outs, suspicion time-outs and the protocol period. */
    public void tick(long now) {
        stall(now);
        for (Iterator<Probe> each = probes.iterator(); each.hasNext();) {
            Probe probe = each.next();
            if (now >= probe.failAt) {
                each.remove();
                failed(now, probe);
            } else if (now >= probe.askAt && !probe.asked) {
                probe.asked = true;
                askHelpers(now, probe);
            }
        }
        for (Member member : members) {
            if (member.suspicion != null && now >= member.suspicion.until(1 + health)) {
                if (now - member.answeredAt < 2 * pace.period()) {
                    // It answers probes, so it will refute the suspicion once the gossip has reached it.
                    member.suspicion.delay(pace.period());
                    gossip.add(new Entry(member.id, MemberState.SUSPECT, member.incarnation, me.id));
                } else {
                    set(now, member, MemberState.GONE, member.incarnation, me.id);
                }
            } else if (member.state == MemberState.JOINING && member != me && joined
                && now - Math.max(member.since, startedAt) >= pace.joining()) {
                set(now, member, MemberState.GONE, member.incarnation, me.id);
            }
        }
        if (now >= periodAt) {
            period(now);
        }
        nextAt = periodAt;
        for (Probe probe : probes) {
            nextAt = Math.min(nextAt, probe.asked ? probe.failAt : probe.askAt);
        }
        for (Member member : members) {
            if (member.suspicion != null) {
                nextAt = Math.min(nextAt, Math.max(now + pace.period() / 20, member.suspicion.until(1
                    + health)));
            }
        }
    }

    /**
     * Extends the deadlines of probes and suspicions by the time in which this process did not run: peers
     * must not be blamed for answers that it could not receive.
     */
    void stall(long now) {
        long late = now - nextAt;
        if (late < pace.period() / 2) {
            return;
        }
        health = Math.min(HEALTH_WORST, health + 1);
        for (Probe probe : probes) {
            probe.askAt += late;
            probe.failAt += late;
        }
        for (Member member : members) {
            if (member.suspicion != null) {
                member.suspicion.delay(late);
            }
        }
        periodAt = Math.max(periodAt, now);
        nextAt = now;
    }

    private void period(long now) {
        periodAt = Math.max(periodAt + pace.period(), now + pace.period() / 2);
        periods++;
        beat++;
        syncedThisPeriod = false;
        checkedThisPeriod = false;
        if (!joined && (members.size() == 1 || now - startedAt >= JOIN_PERIODS * pace.period())) {
            joined(now);
        }
        speak(now);
        outlook.disagree(now);
        if (left) {
            return;
        }
        if (periods % (1 + health) == 0) { // a member in poor local health probes less often
            Member target = periods / (1 + health) % 2 == 0 ? successor() : byTurns();
            if (target != null && probes.size() < MOST_PROBES) {
                probe(now, target);
            }
        }
        if (!joined || periods % CONTACT_PERIODS == 0) {
            List<Member> away = members.stream().filter(member -> member != me
                && member.state != MemberState.PRESENT
                && member.state != MemberState.SUSPECT).toList();
            if (!away.isEmpty()) {
                reachOut(now, away.get(random.nextInt(away.size())));
            }
        }
    }

    /** Pings an absent member: it may have restarted, or a network partition may have healed. */
    void reachOut(long now, Member away) {
        ping(now, away, null, 0);
    }

    private void joined(long now) {
        joined = true;
        if (me.state == MemberState.JOINING) {
            set(now, me, MemberState.PRESENT, me.incarnation, me.id);
        }
    }

    /** Issues a new version of this member's own view report. */
    private void speak(long now) {
        outlook.speak(now, beat, this::steady);
    }

    boolean steady(long unchanged) {
        return unchanged >= pace.steady();
    }

    // --- probes

    /** Returns the next member on the list, as a ring, that is present or suspect; null if there is none. */
    private Member successor() {
        for (int i = 1; i < members.size(); i++) {
            Member member = members.get((me.index + i) % members.size());
            if (member.state == MemberState.PRESENT || member.state == MemberState.SUSPECT) {
                return member;
            }
        }
        return null;
    }

    private Member byTurns() {
        for (int tries = members.size(); tries >= 0; tries--) {
            if (turns.isEmpty()) {
                turns = new ArrayList<>(members);
                Collections.shuffle(turns, random);
            }
            Member member = turns.remove(turns.size() - 1);
            if (member != me && (member.state == MemberState.PRESENT || member.state == MemberState.SUSPECT)) {
                return member;
            }
        }
        return null;
    }

    private void probe(long now, Member target) {
        int stretch = 1 + health;
        int number = ping(now, target, null, 0);
        // A new list does not reach all members at once: a target that has not sent anything yet may not have
        // this member on its list, and then does not answer.
        boolean known = target.knowsMe || now - target.listedAt >= pace.joining();
        probes.add(new Probe(number, target, known, heard, now + stretch * pace.direct(),
            now + stretch * pace.period()));
    }

    private int ping(long now, Member to, Member asker, int askersSequence) {
        int number = ++sequence;
        sent.put(number, new Sent(to, now, asker, askersSequence));
        if (sent.size() > MOST_ASKED) {
            Iterator<Integer> oldest = sent.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        tell(now, Kind.PING, to, number, 0);
        return number;
    }

    private void askHelpers(long now, Probe probe) {
        List<Member> able = new ArrayList<>(members.stream().filter(member -> member != me
            && member != probe.target && member.state == MemberState.PRESENT).toList());
        Collections.shuffle(able, random);
        for (Member helper : able.subList(0, Math.min(HELPERS, able.size()))) {
            tell(now, Kind.ASK, helper, probe.sequence, probe.target.id);
        }
    }

    private void failed(long now, Probe probe) {
        if (heard == probe.heardBefore) {
            // Nothing was received from any peer during the probe: the fault may be on this side.
            health = Math.min(HEALTH_WORST, health + 1);
        }
        Member target = probe.target;
        if (probe.known && (target.state == MemberState.PRESENT || target.state == MemberState.SUSPECT)) {
            suspect(now, target, target.incarnation, me.id);
        }
    }

    private void suspect(long now, Member member, long incarnation, int by) {
        if (member.suspicion == null || member.state != MemberState.SUSPECT) {
            int present = count();
            int confirmations = Math.max(0, Math.min(CONFIRMATIONS, present - 3));
            set(now, member, MemberState.SUSPECT, incarnation, by);
            member.suspicion = new Suspicion(now, by, confirmations, pace.suspicionLeast(present),
                pace.suspicionMost(present));
            // A few of the members that learn of a suspicion through gossip check it with a probe of their
            // own.
            if (by != me.id && !left && !checkedThisPeriod && probes.size() < MOST_PROBES
                && random.nextInt(Math.max(1, present - 2)) < CHECKERS) {
                checkedThisPeriod = true;
                probe(now, member);
            }
        } else if (member.suspicion.confirm(by)) {
            gossip.add(new Entry(member.id, MemberState.SUSPECT, incarnation, by));
        }
    }

    private int count() {
        return (int) members.stream().filter(member -> member.state == MemberState.PRESENT
            || member.state == MemberState.SUSPECT).count();
    }

    // --- datagrams

    /**
     * Handles a datagram from a peer. A datagram that is malformed or comes from an unknown sender is
     * counted in {@link #refused} and otherwise ignored.
     *
     * @param from the member name that the sender's address has on this side; null if it has none
     */
    public void receive(long now, String from, ByteBuffer datagram) {
        stall(now);
        Datagram.Read read;
        try {
            read = Datagram.read(datagram);
        } catch (Datagram.Unreadable e) {
            refused.merge(e.refusal, 1L, Long::sum);
            return;
        }
        Member sender = from == null || roster.indexOf(from) < 0 ? null : members.get(roster.indexOf(from));
        if (sender == null || sender == me) {
            refused.merge(Refusal.STRANGER, 1L, Long::sum);
            return;
        }
        Head head = read.head();
        if (head.kind() == Kind.MISNAMED) {
            clash(now, "member " + sender.name + " has this address listed as that of "
                + roster.nameOrId(head.target()));
            return;
        }
        if (head.sender() != sender.id) {
            refused.merge(Refusal.MISNAMED, 1L, Long::sum);
            tell(now, Kind.MISNAMED, sender, 0, sender.id);
            actions.nameConflict(roster.nameOrId(head.sender()), "the process at " + sender.name
                + "'s address uses this name");
            return;
        }
        heard++;
        sender.knowsMe = true;
        Sent question = head.kind() == Kind.ACK ? sent.remove(head.sequence()) : null;
        boolean fresh = question != null && question.to == sender;
        // Guards against delayed datagrams that were sent to an earlier process of this name.
        boolean mine = head.to() == life;
        sender.behind = head.incarnation() < sender.incarnation;
        if (head.incarnation() >= sender.incarnation && (mine || fresh)) {
            introduce(now, sender, head, fresh);
        } else if (!mine && (sender.state == MemberState.JOINING || sender.state.away())) {
            verify(now, sender);
        }
        if (mine) {
            for (Entry entry : read.entries()) {
                merge(now, entry);
            }
        }
        switch (head.kind()) {
            case PING -> answer(now, sender, head);
            case ACK -> {
                if (fresh) {
                    answered(now, sender, question, head, read.words());
                }
            }
            case ASK -> {
                Member target = member(head.target());
                if (target != null && target != me && !left) {
                    ping(now, target, sender, head.sequence());
                }
            }
            case HEARD -> probes.removeIf(probe -> {
                if (probe.sequence != head.sequence() || probe.target.id != head.target()) {
                    return false;
                }
                probe.target.answeredAt = now;
                health = Math.max(0, health - 1);
                return true;
            });
            default -> { }
        }
        if (head.view() != view && !syncedThisPeriod
            && now - sender.syncedAt >= SYNC_PERIODS * pace.period()) {
            sync(now, sender);
        }
    }

    /**
     * Handles a datagram from a sender that is not on this list but has this member on its own. A ping is
     * acknowledged, so that the sender sees this member alive. Of the gossip only what concerns this member
     * itself is applied.
     */
    public void answerForeign(long now, String from, ByteBuffer datagram) {
        stall(now);
        try {
            Datagram.Read read = Datagram.read(datagram);
            Head head = read.head();
            if (head.sender() != MemberList.idOf(from)) {
                refused.merge(Refusal.MISNAMED, 1L, Long::sum);
            } else if (head.kind() == Kind.PING) {
                if (head.to() == life) {
                    read.entries().stream().filter(entry -> entry.id() == me.id)
                        .forEach(entry -> counter(now, entry));
                }
                actions.send(from, new Datagram(new Head(Kind.ACK, me.id, me.incarnation, life, head.life(),
                    left, view, head.sequence(), 0)).done());
            }
        } catch (Datagram.Unreadable e) {
            refused.merge(e.refusal, 1L, Long::sum);
        }
    }

    /**
     * Applies what a member says of itself. A member that is not present yet becomes present only by
     * acknowledging a ping of this member.
     */
    private void introduce(long now, Member sender, Head head, boolean fresh) {
        boolean newer = head.incarnation() > sender.incarnation;
        boolean another = sender.lastLife != 0 && sender.lastLife != head.life();
        if (head.leaving()) {
            if (sender.state != MemberState.LEFT && !another) {
                set(now, sender, MemberState.LEFT, head.incarnation(), sender.id);
            }
            return;
        }
        if (!fresh && (sender.state == MemberState.JOINING || sender.state.away())) {
            verify(now, sender);
            return;
        }
        // Two processes have the same incarnation: the one that started later has to take a higher one.
        sender.doubled = another && !newer && sender.life != 0;
        boolean anew = another && !sender.doubled;
        if (anew) {
            if (head.life() == sender.lifeBefore) {
                // Detects two running processes of one name, which keep replacing each other.
                sender.clashes = now - sender.clashAt > CLASH_PERIODS * pace.period() ? 1 : sender.clashes
                    + 1;
                sender.clashAt = now;
                if (sender.clashes == CLASHES) {
                    actions.nameConflict(sender.name, "two processes answer at its address");
                }
            }
            sender.lifeBefore = sender.lastLife;
        }
        if (!sender.doubled) {
            sender.life = head.life();
            sender.lastLife = head.life();
        }
        if (newer || anew || sender.state == MemberState.JOINING) {
            set(now, sender, MemberState.PRESENT, head.incarnation(), sender.id, anew);
        }
    }

    /** Pings a member that sent something although it is not present, at most once per period. */
    private void verify(long now, Member sender) {
        if (now - sender.askedAt >= pace.period() && !left) {
            sender.askedAt = now;
            ping(now, sender, null, 0);
        }
    }

    private void answer(long now, Member sender, Head head) {
        Datagram datagram = new Datagram(new Head(Kind.ACK, me.id, me.incarnation, life, head.life(), left,
            view,
            head.sequence(), 0));
        gossip(datagram, sender);
        datagram.words(outlook.toTell(now));
        actions.send(sender.name, datagram.done());
    }

    private void answered(long now, Member sender, Sent question, Head head, List<Word> told) {
        sender.answeredAt = now;
        long trip = now - question.at;
        for (Word word : told) {
            if (word.id() != me.id) {
                outlook.hear(now, new Word(word.id(), word.incarnation(), word.beat(), aged(word.age(), trip),
                    word.list(), word.marks()));
            }
        }
        if (question.asker != null) {
            tell(now, Kind.HEARD, question.asker, question.askersSequence, sender.id);
        }
        if (probes.removeIf(probe -> probe.sequence == head.sequence())) {
            health = Math.max(0, health - 1);
        }
        if (!joined) {
            joined(now);
        }
    }

    /** Adds the whole round trip to a reported age: the answer may have been composed right at its start. */
    long aged(long age, long trip) {
        return age + trip;
    }

    private void tell(long now, Kind kind, Member to, int number, int target) {
        Datagram datagram = begin(kind, to, number, target);
        if (kind != Kind.MISNAMED) {
            gossip(datagram, to);
        }
        actions.send(to.name, datagram.done());
    }

    private Datagram begin(Kind kind, Member to, int number, int target) {
        return new Datagram(new Head(kind, me.id, me.incarnation, life, to.lastLife, left, view, number,
            target));
    }

    /** Adds gossip; whatever the receiver may have to refute about itself comes first. */
    private void gossip(Datagram datagram, Member to) {
        List<Entry> entries = new ArrayList<>();
        if (to.doubled || to.hearsay) {
            entries.add(new Entry(to.id, MemberState.SUSPECT, to.incarnation, me.id));
        } else if (to.state == MemberState.SUSPECT || to.state.away()) {
            entries.add(entry(to));
        } else if (to.behind) {
            // It restarted before anybody suspected it, and lost its stored incarnation. Until it learns the
            // higher one, peers take its view reports for old ones.
            entries.add(new Entry(to.id, MemberState.PRESENT, to.incarnation, me.id));
        }
        entries.addAll(gossip.next(MOST_ENTRIES - entries.size(), members.size()));
        datagram.entries(entries, 0, MOST_ENTRIES);
    }

    private Entry entry(Member member) {
        return new Entry(member.id, member.hearsay ? MemberState.PRESENT : member.state, member.incarnation,
            MemberList.idOf(member.by));
    }

    /** Sends the full view, split over as many datagrams as it needs. */
    private void sync(long now, Member to) {
        to.syncedAt = now;
        syncedThisPeriod = true;
        List<Entry> all = members.stream().filter(member -> member != me && member.state != MemberState.JOINING)
            .map(this::entry).toList();
        for (int from = 0; from < all.size();) {
            Datagram datagram = begin(Kind.SYNC, to, 0, 0);
            from = datagram.entries(all, from, all.size());
            actions.send(to.name, datagram.done());
        }
    }

    // --- view of the peers

    private Member member(int id) {
        int index = roster.indexOf(id);
        return index < 0 ? null : members.get(index);
    }

    private void merge(long now, Entry entry) {
        Member member = member(entry.id());
        if (member == null) {
            return; // not on this member's list
        }
        if (member == me) {
            counter(now, entry);
            return;
        }
        MemberState said = entry.state();
        if (entry.incarnation() < member.incarnation || said == MemberState.JOINING) {
            return;
        }
        boolean newer = entry.incarnation() > member.incarnation;
        if (newer) {
            member.life = 0; // only the member itself can tell whether it is a new process
        }
        if (!newer && said.ordinal() < member.state.ordinal()) {
            return;
        }
        if (said == MemberState.SUSPECT && (newer || member.state != MemberState.GONE && member.state != MemberState.LEFT)) {
            member.hearsay = false;
            suspect(now, member, entry.incarnation(), entry.by());
        } else if (doubts(entry, member.state)) {
            // After a partition each side holds the other side's members gone. That is not passed on, and the
            // member gets the time to refute it.
            suspect(now, member, entry.incarnation(), entry.by());
            member.hearsay = true;
            gossip.forget(member.id);
        } else if (said == MemberState.GONE && member.state == MemberState.SUSPECT
            && (member.hearsay || member.suspicion.young(now))) {
            return; // as above: the member has had no time to refute it
        } else if (newer || said != member.state) {
            set(now, member, said, entry.incarnation(), entry.by());
        }
    }

    /** Whether a peer's report that a member is gone only raises a suspicion, as this view has it present. */
    boolean doubts(Entry entry, MemberState held) {
        return entry.state() == MemberState.GONE && held == MemberState.PRESENT;
    }

    /** Refutes what peers wrongly hold of this member, by taking a higher incarnation. */
    void counter(long now, Entry entry) {
        boolean wrong = entry.state() != MemberState.PRESENT && entry.state() != MemberState.JOINING && !left;
        if (entry.incarnation() > me.incarnation || wrong && entry.incarnation() == me.incarnation) {
            if (entry.incarnation() > me.incarnation && joined && now - startedAt > pace.joining()) {
                clashes = now - lastClash > CLASH_PERIODS * pace.period() ? 1 : clashes + 1;
                lastClash = now;
                if (clashes >= CLASHES) {
                    clash(now, "another process raises the incarnation of this name");
                }
            }
            if (wrong && entry.state() == MemberState.SUSPECT) {
                health = Math.min(HEALTH_WORST, health + 1);
            }
            me.incarnation = entry.incarnation() + 1;
            actions.incarnationChanged(me.incarnation);
            gossip.add(entry(me));
            speak(now);
        }
    }

    private void clash(long now, String why) {
        if (now - clashTold >= CLASH_PERIODS * pace.period()) {
            clashTold = now;
            actions.nameConflict(self, why);
        }
    }

    private void set(long now, Member member, MemberState state, long incarnation, int by) {
        set(now, member, state, incarnation, by, false);
    }

    private void set(long now, Member member, MemberState state, long incarnation, int by, boolean anew) {
        MemberState before = member.state;
        boolean was = before.away();
        member.state = state;
        view = hashed();
        member.incarnation = incarnation;
        member.by = roster.nameOrId(by);
        if (state != MemberState.SUSPECT) {
            member.suspicion = null;
            member.hearsay = false;
        }
        if (was != state.away() || before == MemberState.JOINING) {
            member.changedAt = now;
        }
        if (before != state) {
            member.since = now;
        }
        gossip.add(new Entry(member.id, state, incarnation, by));
        if (before != state || anew) {
            actions.memberChanged(new MemberStateChange(member.name, before, state, member.by, incarnation, anew));
        }
        if (was != state.away()) {
            speak(now); // the own report must not lag behind the view that decisions are based on
        }
    }

    /** Leaves the fleet: announces it to a few members, which spread it by gossip. */
    public void leave(long now) {
        if (left) {
            return;
        }
        left = true;
        probes.clear();
        set(now, me, MemberState.LEFT, me.incarnation, me.id);
        List<Member> others = new ArrayList<>(members.stream().filter(member -> member != me
            && !member.state.away()).toList());
        Collections.shuffle(others, random);
        for (Member other : others.subList(0, Math.min(GOODBYES, others.size()))) {
            ping(now, other, null, 0);
        }
    }

    // --- results

    /** Returns a hash of the list and the members' states, with suspect members taken as present. */
    private int hashed() {
        int hash = roster.hash();
        for (Member member : members) {
            hash = hash * 31 + (member.state == MemberState.SUSPECT ? MemberState.PRESENT : member.state).ordinal();
        }
        return hash;
    }

    /**
     * Returns the counts, agreement and budget share at {@code now}; docs/membership.md proves the share
     * safe.
     */
    public MembershipSnapshot snapshot(long now) {
        return outlook.standing(now, left);
    }

    /** Returns the status of all members, in the order of the list, for operators. */
    public List<MemberStatus> memberStatuses(long now) {
        return outlook.rows(now);
    }

    /** Returns a hash of the view, in hexadecimal; equal if two members have the same view. */
    public String digest() {
        return String.format("%08x", view);
    }

    /** Returns the hash that {@link #digest} prints. */
    public int view() {
        return view;
    }

    /** Returns the state of a member that is on the list. */
    public MemberState state(String name) {
        return members.get(roster.indexOf(name)).state;
    }

    long incarnation(String name) {
        return members.get(roster.indexOf(name)).incarnation;
    }

    /** Returns the local health score of Lifeguard: 0 is healthy, 8 the worst. */
    public int health() {
        return health;
    }

    /** Returns the number of rejected datagrams by reason since the last call, and resets the counts. */
    public Map<String, Long> refused() {
        Map<String, Long> result = new TreeMap<>();
        refused.forEach((reason, count) -> result.put(reason.name().toLowerCase(Locale.ROOT),
            count));
        refused.clear();
        return result;
    }

    /** Whether a datagram with this first byte belongs to this protocol; other protocols share the socket. */
    public static boolean ours(byte first) {
        return first == Datagram.MAGIC;
    }
}
