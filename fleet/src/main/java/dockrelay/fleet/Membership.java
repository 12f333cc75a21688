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
 * One member's view of who is there (SWIM with Lifeguard's refinements; docs/membership.md has what differs).
 * All times are microseconds of elapsed time, handed in; nothing here waits, sends or reads a clock.
 */
public class Membership {
    private static final int HELPERS = 3, CONFIRMATIONS = 3, CHECKERS = 5;
    private static final int HEALTH_WORST = 8, MOST_ENTRIES = 24, MOST_PROBES = 4, MOST_ASKED = 64;
    /** Periods between datagrams to one that is away, and between full views to the same member. */
    private static final int CONTACT_PERIODS = 5, SYNC_PERIODS = 5;
    /** Two processes have one name once this many incarnations were not one's own within so many periods. */
    private static final int CLASHES = 3, CLASH_PERIODS = 50;
    private static final int GOODBYES = 16;
    /** A restarted machine's incarnation has to be found out within so many periods before it counts itself
     * in. */
    private static final int JOIN_PERIODS = 5;

    /** What the machine has done. */
    public interface Callbacks {
        /** Sends this to a member; it may be lost. */
        void send(String to, ByteBuffer datagram);

        /** The view changed. */
        void memberChanged(MemberStateChange change);

        /** From now on this is the own incarnation: the next start has to have a higher one. */
        void incarnationChanged(long own);

        /** Another process goes by this name; by a member's own doing or by its address. */
        void nameConflict(String name, String why);
    }

    /** A probe in flight: first directly, then through helpers. */
    private static final class Probe {
        final int sequence;
        final Member target;
        final long heardBefore;
        final boolean known; // as far as it could tell then, the target had this one's name on its list
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

    /** A datagram sent that an answer may come to: a helper's probe, or a try at one that is away. */
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
     * The incarnation has to be higher than any that this name had before, as far as that is known: a higher
     * one that others remember is countered.
     */
    public Membership(String self, Collection<String> names, long incarnation, int life, ProtocolTiming pace,
                      Random random, Callbacks actions, long now) {
        this.self = self;
        this.pace = pace;
        this.random = random;
        this.actions = actions;
        this.life = life;
        this.startedAt = now;
        // Members that start together are out of step.
        this.periodAt = now + (long) (random.nextDouble() * pace.period());
        this.nextAt = periodAt;
        this.members = List.of();
        roster(now, names);
        me.incarnation = incarnation;
        me.life = life;
        actions.incarnationChanged(incarnation);
        speak(now);
    }

    /** Goes by another list of names; what is known of those on both is kept. */
    public void configure(long now, Collection<String> names) {
        roster(now, names);
        speak(now);
    }

    private void roster(long now, Collection<String> names) {
        MemberList next = new MemberList(names);
        int own = next.indexOf(MemberList.idOf(self));
        if (own < 0) {
            throw new IllegalArgumentException("the own name \"" + self + "\" is not among the members");
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

    // --- time

    /** When the next tick is due. */
    public long nextTickAt() {
        return nextAt;
    }

    /** Does all that is due. */
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
                    // It answers: it will counter this once it hears of it.
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

    /** Time in which this process did not run is nobody's silence: all that is in flight waits longer. */
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
        if (periods % (1 + health) == 0) { // one that doubts itself asks less often
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

    /** One that is away may be back, or behind a cut that has healed. */
    void reachOut(long now, Member away) {
        ping(now, away, null, 0);
    }

    private void joined(long now) {
        joined = true;
        if (me.state == MemberState.JOINING) {
            set(now, me, MemberState.PRESENT, me.incarnation, me.id);
        }
    }

    /** Issues the own word anew. */
    private void speak(long now) {
        outlook.speak(now, beat, this::steady);
    }

    boolean steady(long unchanged) {
        return unchanged >= pace.steady();
    }

    // --- probes

    /** The next one in the ring of names that is not away. */
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
        // A list is told to one after the other: who has not sent anything yet may not be going by it.
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
            health = Math.min(HEALTH_WORST, health + 1); // nobody at all was heard meanwhile: it may be me
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
            // Some of those who hear of it find out for themselves.
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

    /** What a peer sent, by the name that its address has here; null where it has none. */
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
            clash(now, "at " + sender.name + " this address is that of " + roster.nameOrId(head.target()));
            return;
        }
        if (head.sender() != sender.id) {
            refused.merge(Refusal.MISNAMED, 1L, Long::sum);
            tell(now, Kind.MISNAMED, sender, 0, sender.id);
            actions.nameConflict(roster.nameOrId(head.sender()), "the process at " + sender.name
                + "'s address goes by it");
            return;
        }
        heard++;
        sender.knowsMe = true;
        Sent question = head.kind() == Kind.ACK ? sent.remove(head.sequence()) : null;
        boolean fresh = question != null && question.to == sender;
        // Guards against late datagrams meant for the process before this one: it knew what they are worth.
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
     * What came from a name that is not on this list but has this member on its own: it is told that this one
     * lives, and nothing that it says is taken but what it says of this one.
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

    /** A member speaks for itself; who is not held present has to have answered to be. */
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
        // The same incarnation in another process: the one that started later has to take a higher one.
        sender.doubled = another && !newer && sender.life != 0;
        boolean anew = another && !sender.doubled;
        if (anew) {
            if (head.life() == sender.lifeBefore) {
                // Guards against two processes of one name, which take each other's place over and over.
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

    /** Asks one that turned up whether it is there, once a period at the most. */
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

    /** What is told in an answer was so no later than at the question. */
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

    /** Who is doubted hears of it first, so that it can counter that. */
    private void gossip(Datagram datagram, Member to) {
        List<Entry> entries = new ArrayList<>();
        if (to.doubled || to.hearsay) {
            entries.add(new Entry(to.id, MemberState.SUSPECT, to.incarnation, me.id));
        } else if (to.state == MemberState.SUSPECT || to.state.away()) {
            entries.add(entry(to));
        } else if (to.behind) {
            // Restarted before it was missed, and without its folder: until it knows, its words are old ones.
            entries.add(new Entry(to.id, MemberState.PRESENT, to.incarnation, me.id));
        }
        entries.addAll(gossip.next(MOST_ENTRIES - entries.size(), members.size()));
        datagram.entries(entries, 0, MOST_ENTRIES);
    }

    private Entry entry(Member member) {
        return new Entry(member.id, member.hearsay ? MemberState.PRESENT : member.state, member.incarnation,
            MemberList.idOf(member.by));
    }

    /** The whole view, in as many datagrams as it takes. */
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

    // --- what is held of others

    private Member member(int id) {
        int index = roster.indexOf(id);
        return index < 0 ? null : members.get(index);
    }

    private void merge(long now, Entry entry) {
        Member member = member(entry.id());
        if (member == null) {
            return; // not on this list
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
            member.life = 0; // whether it is another process, it has to say itself
        }
        if (!newer && said.ordinal() < member.state.ordinal()) {
            return;
        }
        if (said == MemberState.SUSPECT && (newer || member.state != MemberState.GONE && member.state != MemberState.LEFT)) {
            member.hearsay = false;
            suspect(now, member, entry.incarnation(), entry.by());
        } else if (doubts(entry, member.state)) {
            // After a heal all hold all of the other side gone: that is not passed on, and it may counter it.
            suspect(now, member, entry.incarnation(), entry.by());
            member.hearsay = true;
            gossip.forget(member.id);
        } else if (said == MemberState.GONE && member.state == MemberState.SUSPECT
            && (member.hearsay || member.suspicion.young(now))) {
            return; // likewise: it has had no time to counter
        } else if (newer || said != member.state) {
            set(now, member, said, entry.incarnation(), entry.by());
        }
    }

    /** One that is held present is not gone because somebody says so. */
    boolean doubts(Entry entry, MemberState held) {
        return entry.state() == MemberState.GONE && held == MemberState.PRESENT;
    }

    /** What others say of this one, if it is not so: a higher incarnation says that it lives. */
    void counter(long now, Entry entry) {
        boolean wrong = entry.state() != MemberState.PRESENT && entry.state() != MemberState.JOINING && !left;
        if (entry.incarnation() > me.incarnation || wrong && entry.incarnation() == me.incarnation) {
            if (entry.incarnation() > me.incarnation && joined && now - startedAt > pace.joining()) {
                clashes = now - lastClash > CLASH_PERIODS * pace.period() ? 1 : clashes + 1;
                lastClash = now;
                if (clashes >= CLASHES) {
                    clash(now, "somebody else raises its incarnation");
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
            speak(now); // what the own word says must not lag behind what is done
        }
    }

    /** Says goodbye: to some directly, who pass it on. */
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

    // --- what it comes to

    /** Equal where the same members are held away. */
    private int hashed() {
        int hash = roster.hash();
        for (Member member : members) {
            hash = hash * 31 + (member.state == MemberState.SUSPECT ? MemberState.PRESENT : member.state).ordinal();
        }
        return hash;
    }

    /** What this member may go by now; docs/membership.md proves the share. */
    public MembershipSnapshot snapshot(long now) {
        return outlook.standing(now, left);
    }

    /** All members in order, as an operator is told of them. */
    public List<MemberStatus> memberStatuses(long now) {
        return outlook.rows(now);
    }

    /** Equal where two members see the same ones. */
    public String digest() {
        return String.format("%08x", view);
    }

    /** The same as a number. */
    public int view() {
        return view;
    }

    /** What is held of a member. */
    public MemberState state(String name) {
        return members.get(roster.indexOf(name)).state;
    }

    long incarnation(String name) {
        return members.get(roster.indexOf(name)).incarnation;
    }

    /** How far this member doubts itself, 0 to 8. */
    public int health() {
        return health;
    }

    /** Datagrams that were not taken, by reason, since the last call. */
    public Map<String, Long> refused() {
        Map<String, Long> result = new TreeMap<>();
        refused.forEach((reason, count) -> result.put(reason.name().toLowerCase(Locale.ROOT),
            count));
        refused.clear();
        return result;
    }

    /** Whether these bytes are meant for this machine rather than somebody else on the same socket. */
    public static boolean ours(byte first) {
        return first == Datagram.MAGIC;
    }
}
