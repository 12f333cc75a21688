package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MembershipSnapshot.Agreement;

/** Totals over all groups, from the table: the counted members, this member's rank, and the agreement. */
final class Count {
    private final Between here;

    Count(Between here) {
        this.here = here;
    }

    /** Whether a group's latest summary is recent enough to count. */
    boolean fresh(long now, int group) {
        return here.table.summary(group) != null && here.groups.fresh(here.table.age(now, group));
    }

    /**
     * Whether a group is excluded: a majority of the fleet does not hear of it, and neither does this
     * member.
     */
    boolean out(long now, int group) {
        return group != here.own && here.table.quiet(now, group) > here.rhythm.silent() && marked(now, group);
    }

    boolean marked(long now, int group) {
        return here.silence.agreed(now, group) || here.tables.marked(now, group);
    }

    private boolean sameNames(int group) {
        return here.groups.sameNames(here.table.summary(group).hash(), here.grouping.hash(group));
    }

    /**
     * Returns how many of a group's names are counted: none if the group is excluded, and all if its summary
     * is stale or is based on other names than this member's list.
     */
    int counted(long now, int group) {
        int names = here.grouping.memberNames(group).size();
        return out(now, group) ? 0 : fresh(now, group) && sameNames(group)
            ? here.groups.counted(here.table.summary(group), names) : names;
    }

    /** Returns the known number of members that have left; majorities are of the other members. */
    int left(long now) {
        int left = here.left(now);
        for (int group = 0; group < here.grouping.groupCount(); group++) {
            Summary of = group == here.own ? null : here.table.summary(group);
            left += of != null && of.hash() == here.grouping.hash(group) ? of.left() : 0;
        }
        return left;
    }

    MembershipSnapshot standing(long now, MembershipSnapshot in) {
        int groups = here.grouping.groupCount(), size = here.grouping.memberCount();
        int counted = 0, me = 0, present = 0, agreeing = 0;
        long age = 0;
        boolean all = in.agreement() == Agreement.ALL;
        for (int group = 0; group < groups; group++) {
            if (group == here.own) {
                me = counted + in.ownRank();
                counted += in.countedMembers();
                present += in.presentMembers();
                agreeing += in.agreeingMembers();
                continue;
            }
            counted += counted(now, group);
            if (out(now, group)) {
                continue;
            }
            age = Math.max(age, here.table.unsure(now, group));
            Summary of = here.table.summary(group);
            boolean fresh = fresh(now, group), alike = fresh && of.list() == here.grouping.hash();
            present += fresh && sameNames(group) ? of.present() : 0;
            agreeing += alike ? of.agreeing() : 0;
            all &= alike && sameNames(group) && of.agreement() == Agreement.ALL;
        }
        Agreement agreement = 2 * present <= size - left(now) ? Agreement.MINORITY
            : all ? Agreement.ALL : Agreement.MAJORITY;
        double part = (double) here.grouping.memberNames(here.own).size() / size;
        return new MembershipSnapshot(Math.max(1, counted), me, part * in.budgetShare(), part * in.minBudgetShare(), agreement,
            agreeing, present, size, age);
    }

    GroupStatus row(long now, int group) {
        Summary of = here.table.summary(group);
        int names = here.grouping.memberNames(group).size();
        boolean fresh = fresh(now, group), same = of == null || of.list() == here.grouping.hash();
        if (of == null) {
            return new GroupStatus(here.grouping.label(group), names, 0, 0, 0, counted(now, group),
                Agreement.MINORITY, -1, false, true, null);
        }
        int first = here.grouping.roster(group).indexOf(of.first());
        return new GroupStatus(here.grouping.label(group), names, of.present(), of.left(), of.gone(),
            counted(now, group), of.agreement(), here.table.age(now, group), fresh, same,
            first < 0 ? null : here.grouping.memberNames(group).get(first));
    }

    GroupStatus ownRow(long now, Summary of) {
        int first = here.grouping.roster(here.own).indexOf(of.first());
        return new GroupStatus(here.grouping.label(here.own), here.grouping.memberNames(here.own).size(), of.present(),
            of.left(), of.gone(), of.counted(), of.agreement(), 0, true, true,
            first < 0 ? null : here.grouping.memberNames(here.own).get(first));
    }
}
