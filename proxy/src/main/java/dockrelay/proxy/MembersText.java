package dockrelay.proxy;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.group.GroupStatus;
import java.util.List;
import java.util.Locale;

/** Formats the console's answers about the fleet: a summary line, then a line per member or group. */
final class MembersText {
    private MembersText() {
    }

    /**
     * The summary line. Digest and health are those of this process's group, all other figures cover
     * the whole fleet.
     */
    static String figures(MembershipSnapshot standing, String digest, int health, long suspicions, long clashes) {
        return String.format(Locale.ROOT, "200 present=%d of=%d agreement=%s agreeing=%d digest=%s "
            + "counted=%d share=%.6f health=%d suspicions=%d clashes=%d", standing.presentMembers(),
            standing.configuredMembers(), lower(standing.agreement()), standing.agreeingMembers(), digest,
            standing.countedMembers(), standing.budgetShare(), health, suspicions, clashes);
    }

    /**
     * The end of the summary line: this process's group, and the age of the oldest report from other
     * groups.
     */
    static String place(MembershipSnapshot standing, int groups, String group, boolean speaker) {
        return String.format(Locale.ROOT, " age=%.1fs groups=%d group=%s speaker=%s", standing.oldestReportAge() / 1e6,
            groups, group, speaker ? "yes" : "no");
    }

    static String member(MemberStatus row) {
        return String.format(Locale.ROOT, "%s %s for=%.1fs by=%s incarnation=%d%s%s%s", row.name(),
            lower(row.state()), row.stateAge() / 1e6, row.reportedBy(), row.incarnation(),
            row.reportAge() < 0 ? "" : String.format(Locale.ROOT, " word=%.1fs", row.reportAge() / 1e6),
            row.sameMemberList() ? "" : " other-list", row.differingMembers().isEmpty() ? "" : String.format(Locale.ROOT,
                " differs=%s for=%.1fs", String.join(",", row.differingMembers()), row.disagreementAge() / 1e6));
    }

    static String groups(List<GroupStatus> rows) {
        StringBuilder text = new StringBuilder("200 groups=" + rows.size() + " fresh="
            + rows.stream().filter(GroupStatus::fresh).count());
        for (GroupStatus row : rows) {
            String state = row.fresh() ? "fresh" : row.reportAge() < 0 ? "unheard" : "stale";
            String said = row.reportAge() < 0 ? "" : String.format(Locale.ROOT,
                " present=%d left=%d gone=%d counted=%d agreement=%s age=%.1fs%s", row.presentMembers(), row.leftMembers(),
                row.goneMembers(), row.countedMembers(), lower(row.agreement()), row.reportAge() / 1e6,
                row.sameMemberList() ? "" : " other-list");
            text.append(System.lineSeparator()).append(row.label()).append(' ').append(state).append(" of=")
                .append(row.configuredMembers()).append(said)
                .append(row.representative() == null ? "" : " speaker=" + row.representative());
        }
        return text.toString();
    }

    private static String lower(Enum<?> word) {
        return word.name().toLowerCase(Locale.ROOT);
    }
}
