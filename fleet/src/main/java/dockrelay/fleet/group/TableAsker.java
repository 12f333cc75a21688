package dockrelay.fleet.group;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.group.Message.Kind;
import dockrelay.fleet.group.Message.SilentTo;
import dockrelay.fleet.group.Message.Told;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The queries of a member to its own group's representatives for the table of the other groups. A member
 * queries one representative per round, and another one if that does not answer or lacks data. A
 * representative queries each of the others, so that their assigned parts add up to the whole table.
 */
final class TableAsker {
    private final Between here;
    private final Map<String, Source> sources = new HashMap<>();
    private final Map<String, Long> dueAt = new HashMap<>();
    private final int home; // selects the usual representative; spreads the members evenly over them
    private long nextRound, homeAt;
    private int detour, tries;
    private String asked, answered; // the last ones; data of the latter is kept until the former answers

    TableAsker(Between here, long now) {
        this.here = here;
        this.nextRound = now + (long) (here.random.nextDouble() * here.rhythm.table());
        this.home = here.grouping.roster(here.own).indexOf(here.self);
    }

    /** Sends the queries that are due; returns the time of the next one. */
    long tick(long now) {
        List<String> speakers = here.speakers.names();
        if (!here.speaker()) {
            dueAt.clear();
            if (now >= nextRound) {
                nextRound = now + (long) (here.rhythm.table() * (0.95 + 0.1 * here.random.nextDouble()));
                tries = 0;
                if (misses(now)) {
                    aside(now);
                } else if (now >= homeAt) {
                    detour = 0;
                }
                ask(now);
            }
            String usual = speakers.isEmpty() ? null : speakers.get(Math.floorMod(home, speakers.size()));
            sources.keySet().removeIf(name -> !name.equals(usual) && !name.equals(asked)
                && !name.equals(answered));
            return nextRound;
        }
        long next = Long.MAX_VALUE;
        dueAt.keySet().retainAll(speakers);
        sources.keySet().retainAll(speakers);
        for (String other : speakers) {
            if (!other.equals(here.self)) {
                long due = dueAt.computeIfAbsent(other, name -> now
                    + (long) (here.random.nextDouble() * here.rhythm.retry()));
                if (now >= due) {
                    due = now + (long) (here.rhythm.soon() * (0.95 + 0.1 * here.random.nextDouble()));
                    dueAt.put(other, due);
                    ask(now, other, true);
                }
                next = Math.min(next, due);
            }
        }
        return next;
    }

    /**
     * Switches to another representative for some rounds only; else all members would end up with the same
     * one.
     */
    private void aside(long now) {
        detour++;
        homeAt = now + here.rhythm.aside();
    }

    /**
     * Whether data about a group has been too old for so long that another representative may have newer
     * data. Groups known to be excluded do not matter: a query to another representative costs a whole
     * table, and the representatives share their data, including which groups are excluded.
     */
    private boolean misses(long now) {
        for (int group = 0; group < here.grouping.groupCount(); group++) {
            if (group != here.own && here.table.unsure(now, group) > here.rhythm.missed()
                && !here.count.marked(now, group)) {
                return true;
            }
        }
        return false;
    }

    private void ask(long now) {
        List<String> speakers = here.speakers.names();
        if (!speakers.isEmpty() && tries < speakers.size()) {
            ask(now, here.groups.source(speakers.get(Math.floorMod(home + detour, speakers.size()))), false);
            return;
        }
        List<String> present = here.grouping.memberNames(here.own).stream().filter(name ->
            here.members.state(name) == MemberState.PRESENT && !name.equals(here.self)).toList();
        if (!present.isEmpty()) {
            ask(now, here.groups.source(present.get(here.random.nextInt(present.size()))), false);
        }
    }

    /**
     * Queries a member for changes of the table. With {@code ownPart} it sends only the rows that it queried
     * itself: a representative queries all others, and their parts add up to the whole table.
     */
    private void ask(long now, String to, boolean ownPart) {
        asked = to;
        Source source = sources.get(to);
        Question question = here.questions.ask(now, Kind.ASK_TABLE, to, -1, null);
        // Only representatives need the bitmaps of unreachable groups, and not more often than groups send
        // them.
        boolean silent = here.speaker() && (source == null || source.times++ % 2 == 0);
        boolean anew = source == null || source.part && !ownPart; // rows of others were left out so far
        here.send(to, here.writer(Kind.ASK_TABLE, question.sequence).since(anew ? 0 : source.epoch,
            anew ? 0 : source.version, silent, ownPart));
    }

    /** Queries another representative after a time-out. */
    void failed(long now) {
        if (!here.speaker() && tries <= here.speakers.names().size()) {
            tries++;
            aside(now);
            ask(now);
        }
    }

    void told(long now, Question question, Message told) {
        boolean alike = told.list == here.grouping.hash();
        if (told.ages == null || alike && told.ages.length != here.grouping.groupCount()) {
            return;
        }
        Source source = sources.computeIfAbsent(question.to, Source::new);
        if (question.at < source.askedAt) {
            return; // a reply to a later query arrived first
        }
        if (source.epoch != told.epoch || source.rows.length != told.ages.length) {
            source.anew(told.epoch, told.list, told.ages.length);
        }
        answered = question.to;
        source.askedAt = question.at;
        source.version = told.version;
        source.part = told.ownPart;
        for (Told row : told.rows) {
            if (row.index() < source.rows.length && (alike || row.key() != 0)) {
                source.rows[row.index()] = summary(row, told.list, alike);
            }
        }
        long trip = now - question.at;
        for (int index = 0; index < source.rows.length; index++) {
            int age = told.ages[index] & 0xff;
            source.out[index] = age == Message.OUT;
            if (age <= Message.OLDEST && source.rows[index] != null) {
                here.hear(now, source.rows[index], here.groups.aged(age * here.rhythm.unit(), trip),
                    false);
            }
        }
        if (alike) {
            for (SilentTo silent : told.silentTo) {
                if (silent.group() < here.grouping.groupCount() && silent.age() <= Message.OLDEST) {
                    here.table.silent(now, silent.group(), silent.silent(),
                        silent.age() * here.rhythm.unit() + trip);
                }
            }
        }
        if (told.more && !told.rows.isEmpty()) {
            ask(now, question.to, here.speaker());
        }
    }

    private Summary summary(Told told, int list, boolean alike) {
        boolean plain = told.key() == 0 && !told.otherList();
        int group = told.key() != 0 ? here.grouping.group(told.key()) : alike ? told.index() : -1;
        Told row = plain ? told.whole(here.grouping.memberNames(group).size()) : told;
        int key = row.key() != 0 ? row.key() : here.grouping.key(group);
        int[] speakers = {};
        if (!plain && row.speaker() != 0) {
            speakers = new int[] {row.speaker()};
        } else if (plain && row.speaker() > 0 && row.speaker() <= here.grouping.memberNames(group).size()) {
            speakers = new int[] {here.grouping.roster(group).idAt(row.speaker() - 1)};
        }
        return new Summary(key, row.otherList() ? row.list() : list, plain ? here.grouping.hash(group)
            : row.hash(), 0, row.present(), row.left(), row.gone(), row.counted(), row.agreement(),
            row.agreeing(), speakers, speakers.length == 0 ? 0 : speakers[0]);
    }

    /** Returns the number of rows in all copies of other members' tables. */
    int held() {
        return sources.values().stream().mapToInt(source -> source.rows.length).sum();
    }

    /** Whether a representative recently reported a group as unreachable to a majority of the fleet. */
    boolean marked(long now, int group) {
        for (Source source : sources.values()) {
            if (source.list == here.grouping.hash() && group < source.out.length && source.out[group]
                && now - source.askedAt <= here.rhythm.silent()) {
                return true;
            }
        }
        return false;
    }
}
