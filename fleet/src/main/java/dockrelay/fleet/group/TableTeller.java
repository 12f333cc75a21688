package dockrelay.fleet.group;

import dockrelay.fleet.group.Message.Kind;
import dockrelay.fleet.group.Message.SilentTo;
import dockrelay.fleet.group.Message.Told;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Answers table queries of members of the own group, with the rows that changed since the last reply and the
 * age of each group's data as one byte.
 */
final class TableTeller {
    private final Between here;
    private final int epoch;

    TableTeller(Between here, int epoch) {
        this.here = here;
        this.epoch = epoch;
    }

    void answer(long now, String from, Message asked) {
        boolean keyed = asked.list != here.grouping.hash();
        long since = asked.epoch == epoch ? asked.version : 0;
        Table table = here.table;
        int groups = here.grouping.groupCount();
        List<Integer> changed = new ArrayList<>();
        for (int group = 0; group < groups; group++) {
            if (group != here.own && table.summary(group) != null && table.version(group) > since
                && tells(asked, group)) {
                changed.add(group);
            }
        }
        changed.sort(Comparator.comparingLong(table::version));
        List<Told> rows = new ArrayList<>();
        if (keyed) { // on the asker's list the two members may be in different groups
            rows.add(row(here.own, here.summary(now), true));
        }
        changed.forEach(group -> rows.add(row(group, table.summary(group), keyed)));
        Writer writer = here.writer(Kind.TELL_TABLE, asked.sequence);
        int ages = groups * (asked.ownPart ? 2 : 1); // distance to the group and its age, or the age alone
        int written = writer.rows(rows, keyed, ages + 24, asked.readsBrief
            ? group -> here.grouping.memberNames(group).size() : null);
        boolean more = written < rows.size();
        long upTo = more ? table.version(rows.get(written - 1).index()) : table.version();
        byte[] told = new byte[groups];
        for (int group = 0; group < groups; group++) {
            int age = age(now, group, keyed, upTo);
            told[group] = (byte) (tells(asked, group) || age == Message.OUT ? age : Message.NONE);
        }
        writer.upTo(epoch, upTo, more);
        if (asked.ownPart) {
            writer.ownAges(told);
        } else {
            writer.ages(told);
        }
        if (asked.wantsSilent && !keyed) {
            List<SilentTo> silent = new ArrayList<>();
            for (int group = 0; group < groups; group++) {
                byte[] bits = group == here.own ? null : table.silent(now, group);
                if (bits != null && bits.length > 0 && tells(asked, group)) {
                    silent.add(new SilentTo(group, java.util.Arrays.copyOf(bits, (groups + 7) / 8),
                        units(table.silentAge(now, group))));
                }
            }
            if (asked.readsBrief) {
                writer.silentAlike(silent);
            } else {
                writer.silentTo(silent);
            }
        }
        here.send(from, writer);
    }

    /**
     * Whether a row belongs into the reply: a query for the own part gets only rows that this member
     * queried.
     */
    private boolean tells(Message asked, int group) {
        return !asked.ownPart || group == here.own || here.table.firstHand(group);
    }

    private int age(long now, int group, boolean keyed, long upTo) {
        if (group == here.own) {
            return keyed ? 0 : Message.NONE;
        } else if (here.silence.agreed(now, group)
            || here.silence.undecided(now, group) && here.tables.marked(now, group)) {
            return Message.OUT;
        } else if (here.table.summary(group) == null || here.table.version(group) > upTo) {
            return Message.NONE;
        }
        return units(here.table.age(now, group));
    }

    /** Rounds up: an age must never be understated. */
    private int units(long age) {
        long units = (age + here.rhythm.unit() - 1) / here.rhythm.unit();
        return units > Message.OLDEST ? Message.OLD : (int) units;
    }

    private Told row(int group, Summary of, boolean keyed) {
        boolean otherList = of.list() != here.grouping.hash();
        int speaker = of.first();
        if (!keyed && !otherList) {
            speaker = 1 + here.grouping.roster(group).indexOf(of.first());
        }
        return new Told(group, here.grouping.key(group), otherList, of.list(), of.hash(), of.present(),
            of.left(), of.gone(), of.counted(), of.agreement(), of.agreeing(), speaker);
    }
}
