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
 * Leader election for the coordinator of the budgets. Starts an election while no coordinator is
 * known, stays coordinator as long as a quorum renews its votes, and changes the voter set by joint
 * consensus: a change needs a quorum of the old set and one of the new set. Times are in microseconds
 * of the caller's clock.
 */
class Authority {
    private static final int ROUNDS = 8;
    /**
     * Members without a vote get every n-th renewal only. A member that lost its state in a restart
     * learns of the coordinator from it before it could start an election.
     */
    private static final int TOLD_ROUNDS = 3;
    /**
     * How long a datagram from an unlisted sender blocks elections without a known voter set, in vote
     * durations.
     */
    private static final int STRANGER_PROMISES = 5;

    /** Sends a message to a configured member, by the id of its name. */
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
     * Takes the members that operators have declared retired, of which no process runs any more. Once
     * the votes that they may have granted have expired, quorums are counted without them, so that the
     * remaining voters suffice.
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

    /** Whether this process is the coordinator at this moment. */
    boolean holds(long now) {
        return keeps && now < until;
    }

    long term() {
        return term;
    }

    /**
     * The members whose votes were missing in the last failed election, comma-separated, for the
     * console; null after a successful one.
     */
    String waitsFor() {
        return waitsFor;
    }

    int voters() {
        return agreed == null ? 0 : agreed.ids().length;
    }

    /** Postpones the next election because a coordinator is active. */
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
        for (int id : all) { // to itself too: the vote belongs to the process that has the configured address
            sender.send(id, message(Kind.CANVASS, id, term, null, null));
        }
    }

    /** All members that may have a vote, as far as this process knows. */
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

    /**
     * A random delay that grows with the number of members: fleets of any size start about as many
     * elections in total, and rarely two at the same time.
     */
    private long spread() {
        return (long) (random.nextDouble() * Math.max(3, roster.size() / 2) * pace.canvass());
    }

    /** Takes the answer to a vote request or to a renewal. */
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
                canvassEnds = Math.min(canvassEnds, now + pace.canvass() / 8); // another may win
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
            return false; // no known voter set, and a running process is missing from the list
        }
        Set<Integer> all = everybody();
        all.removeAll(without(now));
        return yes.containsAll(all); // every member answered: no voter set can be known to anyone else
    }

    /**
     * Notes a datagram from an unlisted sender: the configured list does not name all running
     * processes.
     */
    void stranger(long now) {
        strangerAt = now;
    }

    /**
     * The members that voted for this process and reported a voter set. Their votes count for a known
     * voter set, because they know every set that they helped to agree on.
     */
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

    /**
     * The voter set to change to: the present members, and voters that may be absent for a moment
     * only; null if the set stays as it is.
     */
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

    /**
     * Whether the votes are a quorum of the committed voter set and, during a change, of the pending
     * one as well.
     */
    boolean enough(Set<Integer> said, Agreed list, Agreed change, Set<Integer> but) {
        return list.quorum(said, but) && (change == null || change.quorum(said, but));
    }

    /**
     * Gives up the coordinator role and releases the votes, so that the next coordinator need not wait
     * for their expiry.
     */
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

    /**
     * Notes the instance id that a member's process uses, since a vote request has to name it. During
     * an election a member that turns out to have another instance is asked again.
     */
    void heard(int id, int ofLife) {
        Integer before = lives.put(id, ofLife);
        if (canvasses && (before == null || before != ofLife) && !yes.contains(id)) {
            sender.send(id, message(Kind.CANVASS, id, term, null, null));
        }
    }

    /** Brings the next election forward because the coordinator has resigned. */
    void hurry(long now) {
        quietFrom = Math.min(quietFrom, now + spread() / 2);
    }
}
