package dockrelay.fleet.group;

import dockrelay.fleet.group.Message.Aged;
import dockrelay.fleet.group.Message.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The queries of a representative to other groups. The representatives of a group divide the other groups
 * among themselves and query each once per round, at random offsets, and more often while a group has no
 * agreement. If the data about a group is overdue, a second representative queries it too, and all do if the
 * group seems unreachable. A query goes to a representative of the other group, or to any of its members if
 * none is known or none answers.
 */
final class GroupAsker {
    private static final int MOST_MISSING = 4, AT_A_TIME = 7;
    /** After this many failed queries a group counts as unreachable, and is no longer retried at once. */
    private static final int VAIN = 8;

    private final Between here;
    private final long[] dueAt;
    private boolean asks;
    private List<String> rankedAmong; // the representatives for which the ranks were computed
    private final int[] ranks;
    private final int[] tries, asked, from; // failures; queries since the last answer; first name tried

    GroupAsker(Between here) {
        this.here = here;
        this.dueAt = new long[here.grouping.groupCount()];
        this.ranks = new int[dueAt.length];
        this.tries = new int[dueAt.length];
        this.asked = new int[dueAt.length];
        this.from = new int[dueAt.length];
        java.util.Arrays.fill(dueAt, Long.MAX_VALUE);
    }

    /** Sends the queries that are due; returns the time of the next one. */
    long tick(long now) {
        long next = Long.MAX_VALUE;
        boolean speaker = here.speaker(), idle = !speaker && !asks;
        asks = speaker;
        if (idle) {
            return next;
        }
        rank();
        for (int group = 0; group < dueAt.length; group++) {
            if (!speaker || group == here.own || !mine(now, group)) {
                dueAt[group] = Long.MAX_VALUE;
                continue;
            }
            if (dueAt[group] == Long.MAX_VALUE) { // a newly assigned group: soon, but not all at once
                boolean late = here.table.unsure(now, group) > here.rhythm.late();
                dueAt[group] = now + (long) (here.random.nextDouble() * (late ? here.rhythm.retry() / 4
                    : here.rhythm.round()));
                tries[group] = 0;
                asked[group] = 0;
            }
            if (now >= dueAt[group]) {
                ask(now, group);
            }
            next = Math.min(next, dueAt[group]);
        }
        return next;
    }

    /** Recomputes the ranks if the representatives changed; this hashes each of them for each group. */
    private void rank() {
        if (rankedAmong != here.speakers.names()) {
            rankedAmong = here.speakers.names();
            for (int group = 0; group < ranks.length; group++) {
                ranks[group] = here.speakers.rank(here.grouping.key(group));
            }
        }
    }

    private boolean mine(long now, int group) {
        long unsure = here.table.unsure(now, group);
        if (unsure > here.rhythm.silent()) {
            return true; // all representatives query it, to establish quickly whether it is unreachable
        }
        return ranks[group] == 0 || ranks[group] == 1 && unsure > here.rhythm.late();
    }

    /** Whether so many queries to a group failed that the loss of one of its members cannot be the cause. */
    boolean vain(int group) {
        return tries[group] >= VAIN;
    }

    /** Queries one member, or several at once if a query failed and the group's data is overdue. */
    private void ask(long now, int group) {
        long next = here.table.unsettled(now, group) ? here.rhythm.soon() : here.rhythm.round();
        dueAt[group] = now + (long) (next * (0.95 + 0.1 * here.random.nextDouble()));
        boolean late = tries[group] > 0 && here.table.unsure(now, group) > here.rhythm.late();
        List<Integer> missing = missing(now);
        for (int i = late && tries[group] < VAIN ? AT_A_TIME : 1; i > 0; i--) {
            String to = target(group);
            Question question = here.questions.ask(now, Kind.ASK_GROUP, to, group, null);
            here.send(to, here.writer(Kind.ASK_GROUP, question.sequence)
                .missing(i == 1 ? missing : List.of()));
        }
    }

    /** Returns the next member to query: each known representative in turn, then all members. */
    private String target(int group) {
        List<String> names = here.grouping.memberNames(group);
        Summary held = here.table.summary(group);
        int known = held == null ? 0 : held.speakers().length, position = asked[group]++;
        if (position == 0) {
            from[group] = here.random.nextInt(names.size());
        }
        // The representatives of a minority do not know the majority: other members have to be tried as well.
        if (position < known && !(held.minority() && here.random.nextBoolean())) {
            int speaker = held.speakers()[(here.own + position) % known]; // spreads the load over them
            int index = here.grouping.roster(group).indexOf(speaker);
            if (index >= 0) {
                return here.groups.isRepresentative(group, names.get(index));
            }
        }
        return here.groups.isRepresentative(group, names.get((from[group] + position) % names.size()));
    }

    /** Returns some of the unreachable groups: another group may have recent data about them. */
    private List<Integer> missing(long now) {
        List<Integer> silent = new ArrayList<>();
        for (int group = 0; group < dueAt.length; group++) {
            if (here.silence.of(now, group) && !here.silence.agreed(now, group)) {
                silent.add(here.grouping.key(group));
            }
        }
        Collections.shuffle(silent, here.random);
        return silent.subList(0, Math.min(MOST_MISSING, silent.size()));
    }

    /** Schedules a query to another member at once, unless too many have failed. */
    void failed(long now, Question question) {
        int group = question.group;
        if (++tries[group] < VAIN && dueAt[group] != Long.MAX_VALUE) {
            dueAt[group] = now;
        }
    }

    /** Answers another group's query with a summary of this group. */
    void answer(long now, String from, Message asked) {
        if (here.joined()) {
            List<Aged> relayed = new ArrayList<>();
            for (int key : asked.missing) {
                int group = here.grouping.group(key);
                if (group >= 0 && group != here.own && here.table.summary(group) != null
                    && here.table.age(now, group) <= here.rhythm.silent()) {
                    relayed.add(new Aged(here.table.summary(group), here.table.age(now, group)));
                }
            }
            here.send(from, here.writer(Kind.TELL_GROUP, asked.sequence).summary(here.summary(now))
                .silent(asked.list == here.grouping.hash() ? here.silence.said(now) : null).relayed(relayed));
        }
    }

    void told(long now, Question question, Message told) {
        if (told.summary == null) {
            return;
        }
        tries[question.group] = 0;
        asked[question.group] = 0;
        long trip = now - question.at;
        here.hear(now, told.summary, here.groups.aged(0, trip), true);
        int group = here.grouping.group(told.summary.key());
        if (group >= 0 && told.list == here.grouping.hash()) {
            here.table.silent(now, group, told.silent == null ? new byte[0] : told.silent, trip);
        }
        for (Aged row : told.relayed) {
            here.hear(now, row.summary(), here.groups.aged(row.age(), trip), true);
        }
    }
}
