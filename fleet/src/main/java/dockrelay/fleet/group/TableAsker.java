package dockrelay.fleet.group;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.group.Message.Kind;
import dockrelay.fleet.group.Message.SilentTo;
import dockrelay.fleet.group.Message.Told;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the other groups say, within one group: a member asks one of the speakers once a round, another one
 * after no answer or while it misses something; a speaker asks each of the others, which joins their parts.
 */
final class TableAsker {
    private final Between here;
    private final Map<String, Source> sources = new HashMap<>();
    private final Map<String, Long> dueAt = new HashMap<>();
    private final int home; // which of the speakers is asked while all is well: as many members ask each
    private long nextRound, homeAt;
    private int detour, tries;
    private String asked, answered; // the last ones: what the one said holds until the other has answered

    TableAsker(Between here, long now) {
        this.here = here;
        this.nextRound = now + (long) (here.random.nextDouble() * here.rhythm.table());
        this.home = here.grouping.roster(here.own).indexOf(here.self);
    }

    /** Asks what is due; returns when the next one is. */
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

    /** Another speaker is asked for some rounds: were it for ever, all would end up with the same one. */
    private void aside(long now) {
        detour++;
        homeAt = now + here.rhythm.aside();
    }

    /**
     * Whether something has counted for nothing for a while that another speaker may know better. To ask that
     * one costs a whole table, and speakers tell each other what they know, also who is counted out.
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

    /** Of each of all speakers its own part joins to the whole; one that is asked alone has to tell all. */
    private void ask(long now, String to, boolean ownPart) {
        asked = to;
        Source source = sources.get(to);
        Question question = here.questions.ask(now, Kind.ASK_TABLE, to, -1, null);
        // To whom groups hear nothing is told to speakers only, and as often as groups themselves say it.
        boolean silent = here.speaker() && (source == null || source.times++ % 2 == 0);
        boolean anew = source == null || source.part && !ownPart; // it passed over what was not its own
        here.send(to, here.writer(Kind.ASK_TABLE, question.sequence).since(anew ? 0 : source.epoch,
            anew ? 0 : source.version, silent, ownPart));
    }

    /** Another one is asked. */
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
            return; // overtaken by an answer to a later question
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

    /** How many rows of others' tables are held beside the own one. */
    int held() {
        return sources.values().stream().mapToInt(source -> source.rows.length).sum();
    }

    /** Whether a speaker said lately that most hear nothing of a group. */
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
