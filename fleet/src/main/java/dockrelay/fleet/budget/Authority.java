package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.budget.Message.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Whether this process is the keeper: it canvasses where there is none, goes on while a quorum renews its
 * promise, and changes the agreed list by a quorum of the old one and one of the new one.
 */
class Authority {
    private static final int ROUNDS = 8;
    /**
     * Those who have no vote hear of the keeper so many rounds apart: one that forgot all is told in time.
     */
    private static final int TOLD_ROUNDS = 3;
    /** A stranger that was heard is held to run for so long. */
    private static final int STRANGER_PROMISES = 5;

    /** Sends to a name on the list. */
    interface Sender {
        void send(int to, Message message);
    }

    private record Round(long sentAt, boolean withNext, Set<Integer> yes) {
    }

    private final int self, life;
    private final BudgetTiming pace;
    private final Voter voter;
    private final Random random;
    private final Sender sender;
    private final Map<Integer, Integer> lives = new HashMap<>();
    private final Map<Long, Round> rounds = new HashMap<>();
    private final Set<Integer> yes = new HashSet<>(), remembering = new HashSet<>();
    private MemberList roster;
    private Agreed agreed, next;
    private long term = -1, until = Long.MIN_VALUE, number, canvassAt, canvassEnds, renewAt, quietFrom;
    private long canvassSentAt, changes, strangerAt = Long.MIN_VALUE / 2;
    private Set<Integer> retired = Set.of();
    private long retiredFrom;
    private boolean keeps, canvasses;
    private String waitsFor;

    Authority(int self, int life, BudgetTiming pace, Voter voter, MemberList roster, Random random, Sender sender,
              long now) {
        this.self = self;
        this.life = life;
        this.pace = pace;
        this.voter = voter;
        this.roster = roster;
        this.random = random;
        this.sender = sender;
        lives.put(self, life);
        quiet(now);
    }

    void roster(MemberList names) {
        roster = names;
    }

    /**
     * By the operators' word no process of these names runs: once nobody can count on their promises any
     * more,
     * the lists are read without them. Any quorum of those that run is then a quorum of what is left.
     */
    void retired(long now, Set<Integer> ids) {
        if (!ids.equals(retired)) {
            retired = ids;
            retiredFrom = now + pace.promiseOver();
        }
    }

    private Set<Integer> without(long now) {
        return now >= retiredFrom ? retired : Set.of();
    }

    /** Whether it is the keeper at this moment. */
    boolean holds(long now) {
        return keeps && now < until;
    }

    long term() {
        return term;
    }

    /** Whom a canvass has not heard yes from, for an operator; null where it needs nobody. */
    String waitsFor() {
        return waitsFor;
    }

    int voters() {
        return agreed == null ? 0 : agreed.ids().length;
    }

    /** A keeper is there: no need to canvass for a while. */
    void quiet(long now) {
        quietFrom = now + pace.promise() + spread() / 2;
    }

    long nextAt() {
        return keeps ? Math.min(renewAt, until) : canvasses ? canvassEnds : quietFrom;
    }

    void tick(long now, Set<Integer> present, Set<Integer> departed) {
        if (keeps && now >= until) {
            stepDown(now);
        } else if (keeps && now >= renewAt) {
            renew(now, present, departed);
        } else if (canvasses && now >= canvassEnds) {
            giveUp(now);
        } else if (!keeps && !canvasses && now >= quietFrom) {
            if (voter.free(now)) {
                canvass(now);
            } else {
                quietFrom = now + pace.period() / 2 + (long) (random.nextDouble() * pace.canvass());
            }
        }
    }

    private void stepDown(long now) {
        keeps = false;
        rounds.clear();
        quiet(now);
    }

    private Message message(Kind kind, int to, long ofTerm, Agreed list, Agreed change) {
        return new Message(kind, self, life, lives.getOrDefault(to, 0), ofTerm, number, 0, 0, false, 0, list,
            change, List.of());
    }

    private void canvass(long now) {
        canvasses = true;
        canvassSentAt = now;
        canvassEnds = now + pace.canvass();
        yes.clear();
        remembering.clear();
        agreed = null;
        next = null;
        number++;
        term = voter.term() + 1;
        Set<Integer> all = everybody();
        for (int id : all) { // itself too: only who has the address that all know has the name's vote
            sender.send(id, message(Kind.CANVASS, id, term, null, null));
        }
    }

    /** All names that may have a vote, as far as is known here. */
    private Set<Integer> everybody() {
        Set<Integer> all = new HashSet<>();
        for (int i = 0; i < roster.size(); i++) {
            all.add(roster.idAt(i));
        }
        for (Agreed list : new Agreed[] {voter.agreed(), voter.next(), agreed, next}) {
            for (int id : list == null ? new int[0] : list.ids()) {
                all.add(id);
            }
        }
        return all;
    }

    private void giveUp(long now) {
        canvasses = false;
        Set<Integer> missing = everybody();
        missing.removeAll(yes);
        missing.removeAll(without(now));
        waitsFor = String.join(",", missing.stream().map(roster::nameOrId).sorted().toList());
        for (int id : yes) {
            if (id != self) {
                sender.send(id, message(Kind.RESIGN, id, term, null, null));
            }
        }
        voter.resigned(self, life, term);
        quietFrom = now + pace.period() / 2 + spread();
    }

    /** So that a fleet of any size tries as often in all, and seldom two at a time. */
    private long spread() {
        return (long) (random.nextDouble() * Math.max(3, roster.size() / 2) * pace.canvass());
    }

    /** An answer to a canvass or a renewal. */
    void vote(long now, int from, Message vote) {
        voter.heardOf(vote.yes() ? 0 : vote.term());
        if (canvasses && vote.number() == number && vote.term() <= term) {
            agreed = Agreed.newer(agreed, vote.agreed());
            next = Agreed.newer(next, vote.next());
            if (vote.yes()) {
                yes.add(from);
                if (vote.agreed() != null) {
                    remembering.add(from);
                }
            }
            if (!vote.yes()) {
                canvassEnds = Math.min(canvassEnds, now + pace.canvass() / 8); // somebody else may do better
            }
            if (elected(now)) {
                begin(now);
            }
        } else if (keeps && vote.yes() && vote.term() == term && rounds.containsKey(vote.number())) {
            renewed(now, vote.number(), from);
        }
    }

    private boolean elected(long now) {
        Agreed change = next != null && next.newerThan(agreed) ? next : null;
        if (agreed != null && enough(remembering(), agreed, change, without(now))) {
            return true;
        }
        if (agreed == null && now - strangerAt < STRANGER_PROMISES * pace.promise()) {
            return false; // nobody here remembers, and somebody is there who is not on the list
        }
        Set<Integer> all = everybody();
        all.removeAll(without(now));
        return yes.containsAll(all); // nobody is left who could know better
    }

    /** One that is not on the list speaks to this process: the list does not name all that run. */
    void stranger(long now) {
        strangerAt = now;
    }

    /** Those whose vote counts: they know of any list that they have helped to agree on. */
    Set<Integer> remembering() {
        return remembering;
    }

    Set<Integer> saidYes() {
        return yes;
    }

    private void begin(long now) {
        canvasses = false;
        keeps = true;
        waitsFor = null;
        changes = 0;
        until = canvassSentAt + pace.promiseRelied();
        if (agreed == null) {
            agreed = new Agreed(term, 0, everybody().stream().mapToInt(Integer::intValue).toArray());
        }
        next = next != null && next.newerThan(agreed) ? next : null;
        renewAt = now;
    }

    private void renew(long now, Set<Integer> present, Set<Integer> departed) {
        if (next == null) {
            next = change(present, departed);
        }
        renewAt = now + pace.renewal();
        number++;
        rounds.put(number, new Round(now, next != null, new HashSet<>()));
        rounds.remove(number - ROUNDS);
        Set<Integer> asked = new HashSet<>();
        for (Agreed list : new Agreed[] {agreed, next}) {
            for (int id : list == null ? new int[0] : list.ids()) {
                if (asked.add(id)) {
                    sender.send(id, message(Kind.RENEW, id, term, agreed, next));
                }
            }
        }
        for (int i = 0; i < roster.size() && number % TOLD_ROUNDS == 0; i++) {
            int id = roster.idAt(i);
            if (id != self && asked.add(id)) {
                sender.send(id, message(Kind.RENEW, id, term, agreed, next));
            }
        }
    }

    /** The list that the votes should go by: who is there, and who may only be away for a moment. */
    private Agreed change(Set<Integer> present, Set<Integer> departed) {
        List<Integer> wanted = new ArrayList<>();
        for (int id : agreed.ids()) {
            if (!departed.contains(id) && !retired.contains(id) || id == self) {
                wanted.add(id);
            }
        }
        for (int id : present) {
            if (!agreed.names(id)) {
                wanted.add(id);
            }
        }
        int[] ids = wanted.stream().mapToInt(Integer::intValue).toArray();
        Agreed to = new Agreed(term, ++changes, ids);
        return java.util.Arrays.equals(to.ids(), agreed.ids()) ? null : to;
    }

    private void renewed(long now, long round, int by) {
        Round at = rounds.get(round);
        at.yes.add(by);
        if (!enough(at.yes, agreed, next, without(now))) {
            return;
        }
        until = Math.max(until, at.sentAt + pace.promiseRelied());
        if (at.withNext && next != null) {
            agreed = next;
            next = null;
            rounds.clear();
        }
    }

    /** Of the agreed list and, while it changes, of the next one as well. */
    boolean enough(Set<Integer> said, Agreed list, Agreed change, Set<Integer> but) {
        return list.quorum(said, but) && (change == null || change.quorum(said, but));
    }

    /** Frees the votes, so that the next keeper need not wait. */
    void resign(long now) {
        if (keeps) {
            stepDown(now);
            for (int id : everybody()) {
                if (id != self) {
                    sender.send(id, message(Kind.RESIGN, id, term, null, null));
                }
            }
            voter.resigned(self, life, term);
        }
    }

    /** The life that a name's process is heard with: a vote has to be asked of that one. */
    void heard(int id, int ofLife) {
        Integer before = lives.put(id, ofLife);
        if (canvasses && (before == null || before != ofLife) && !yes.contains(id)) {
            sender.send(id, message(Kind.CANVASS, id, term, null, null));
        }
    }

    /** The keeper has given its place up. */
    void hurry(long now) {
        quietFrom = Math.min(quietFrom, now + spread() / 2);
    }
}
