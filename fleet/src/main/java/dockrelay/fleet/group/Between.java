package dockrelay.fleet.group;

import dockrelay.fleet.Membership;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberList;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.group.Message.Kind;
import dockrelay.fleet.group.Message.Refusal;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One member's part of the protocol between groups, for one list of members. Its components share this
 * object to reach each other.
 */
final class Between {
    final GroupedMembership groups;
    final String self;
    final GroupAssignment grouping;
    final int own;
    final Membership members;
    final Rhythm rhythm;
    final Random random;
    final Table table;
    final Questions questions;
    final Speakers speakers;
    final Silence silence;
    final Count count;
    final GroupAsker asker;
    final TableAsker tables;
    private final TableTeller teller;
    private final GroupedMembership.Callbacks actions;
    private final Finder finder;
    private final int id;
    private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
    private long nextAt;

    Between(GroupedMembership groups, String self, GroupAssignment grouping, Membership members, ProtocolTiming pace, Random random,
            GroupedMembership.Callbacks actions, long now) {
        this.groups = groups;
        this.self = self;
        this.id = MemberList.idOf(self);
        this.grouping = grouping;
        this.own = grouping.groupOf(self);
        this.members = members;
        this.rhythm = new Rhythm(pace);
        this.random = random;
        this.actions = actions;
        this.table = new Table(grouping, rhythm, now);
        this.questions = new Questions(rhythm, random);
        this.speakers = new Speakers(members, self, grouping.memberNames(own), grouping.groupCount());
        this.silence = new Silence(this, now);
        this.count = new Count(this);
        this.asker = new GroupAsker(this);
        this.teller = new TableTeller(this, random.nextInt() | 1);
        this.tables = new TableAsker(this, now);
        this.finder = new Finder(this);
        this.nextAt = now;
    }

    // --- timers

    long nextAt() {
        return nextAt;
    }

    void tick(long now) {
        awake(now);
        for (Question failed = questions.failed(now); failed != null; failed = questions.failed(now)) {
            switch (failed.kind) {
                case ASK_GROUP -> asker.failed(now, failed);
                case ASK_TABLE -> tables.failed(now);
                default -> finder.failed(now, failed);
            }
        }
        rest(now);
    }

    private void rest(long now) {
        boolean speaks = speaker();
        silence.speaking(now, speaks);
        long due = Math.min(tables.tick(now), asker.tick(now));
        nextAt = Math.min(due, questions.nextAt());
    }

    /** After a pause of this process, extends time-outs: nobody is blamed for the time of the pause. */
    private void awake(long now) {
        long late = now - nextAt;
        if (late >= rhythm.retry() / 4) {
            questions.delay(late);
            nextAt = now;
            if (late >= rhythm.retry()) {
                silence.woken(now);
            }
        }
    }

    // --- datagrams

    Writer writer(Kind kind, int sequence) {
        return new Writer(kind, id, grouping.hash(), sequence);
    }

    void send(String to, Writer datagram) {
        actions.send(to, datagram.done());
    }

    void receive(long now, String from, ByteBuffer datagram) {
        awake(now);
        Message message;
        try {
            message = Message.read(datagram);
        } catch (Message.Unreadable e) {
            refused.merge(e.refusal, 1L, Long::sum);
            return;
        }
        if (from == null || from.equals(self) || grouping.groupOf(from) < 0) {
            refused.merge(Refusal.STRANGER, 1L, Long::sum);
        } else if (message.sender != MemberList.idOf(from)) {
            refused.merge(Refusal.MISNAMED, 1L, Long::sum);
        } else {
            take(now, from, message);
            rest(now);
        }
    }

    private void take(long now, String from, Message message) {
        switch (message.kind) {
            case ASK_GROUP -> asker.answer(now, from, message);
            case ASK_TABLE -> teller.answer(now, from, message);
            case ASK_NAME -> finder.answer(now, from, message);
            case TELL_GROUP -> {
                Question question = questions.answered(message.sequence, from, Kind.ASK_GROUP);
                if (question != null) {
                    asker.told(now, question, message);
                }
            }
            case TELL_TABLE -> {
                Question question = questions.answered(message.sequence, from, Kind.ASK_TABLE);
                if (question != null) {
                    tables.told(now, question, message);
                }
            }
            default -> {
                Question question = questions.answered(message.sequence, from, Kind.ASK_NAME);
                if (question != null) {
                    finder.told(now, question, message);
                }
            }
        }
    }

    void hear(long now, Summary told, long age, boolean firstHand) {
        int group = grouping.group(told.key());
        if (group >= 0 && group != own) {
            table.hear(now, groups.taken(table.summary(group), table.age(now, group), told), age,
                firstHand);
        }
    }

    // --- the own group

    /** Whether this member is a representative of its group. */
    boolean speaker() {
        return members.state(self) == MemberState.PRESENT && speakers.mine();
    }

    /** Whether a peer has answered this member; before that it knows nothing about its group. */
    boolean joined() {
        return members.state(self) != MemberState.JOINING;
    }

    int present(long now) {
        return members.snapshot(now).presentMembers();
    }

    int left(long now) {
        return count(MemberState.LEFT);
    }

    private int count(MemberState state) {
        return (int) grouping.memberNames(own).stream().filter(name -> members.state(name) == state).count();
    }

    Summary summary(long now) {
        MembershipSnapshot standing = members.snapshot(now);
        return new Summary(grouping.key(own), grouping.hash(), grouping.hash(own), members.view(),
            standing.presentMembers(), count(MemberState.LEFT), count(MemberState.GONE), standing.countedMembers(),
            standing.agreement(), standing.agreeingMembers(), speakers.ids(), id);
    }

    // --- results

    MembershipSnapshot standing(long now) {
        return count.standing(now, members.snapshot(now));
    }

    List<GroupStatus> rows(long now) {
        List<GroupStatus> result = new ArrayList<>();
        for (int group = 0; group < grouping.groupCount(); group++) {
            result.add(group == own ? count.ownRow(now, summary(now)) : count.row(now, group));
        }
        return result;
    }

    void find(long now, String name) {
        finder.find(now, name);
        rest(now);
    }

    /** Ends this protocol, as another list of members replaces it. */
    void end() {
        finder.end();
    }

    void found(String name, MemberStatus row) {
        actions.memberLookupCompleted(name, row);
    }

    /** Adds the number of rejected datagrams by reason since the last call, and resets the counts. */
    void refused(Map<String, Long> into) {
        refused.forEach((reason, times) -> into.merge(reason.name().toLowerCase(java.util.Locale.ROOT), times,
            Long::sum));
        refused.clear();
    }
}
