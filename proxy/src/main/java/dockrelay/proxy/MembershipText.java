package dockrelay.proxy;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.group.GroupStatus;
import java.util.List;
import java.util.Locale;

/** Formats the console's answers about the fleet: a summary line, then a line per member or group. */
final class MembershipText {
    private MembershipText() {
    }

    /**
     * The summary line. Digest and health are those of this process's group, all other figures cover
     * the whole fleet.
     */
    static String summary(MembershipSnapshot snapshot, String digest, int healthScore, long suspicions,
                          long nameConflicts) {
        return String.format(Locale.ROOT, "200 present=%d of=%d agreement=%s agreeing=%d digest=%s "
            + "counted=%d share=%.6f health=%d suspicions=%d clashes=%d", snapshot.presentMembers(),
            snapshot.configuredMembers(), lowerCaseName(snapshot.agreement()), snapshot.agreeingMembers(),
            digest, snapshot.countedMembers(), snapshot.budgetShare(), healthScore, suspicions,
            nameConflicts);
    }

    /**
     * The end of the summary line: this process's group, and the age of the oldest report from other
     * groups.
     */
    static String groupSummary(MembershipSnapshot snapshot, int groupCount, String groupLabel,
                               boolean representative) {
        return String.format(Locale.ROOT, " age=%.1fs groups=%d group=%s speaker=%s",
            snapshot.oldestReportAge() / 1e6, groupCount, groupLabel, representative ? "yes" : "no");
    }

    static String memberLine(MemberStatus status) {
        return String.format(Locale.ROOT, "%s %s for=%.1fs by=%s incarnation=%d%s%s%s", status.name(),
            lowerCaseName(status.state()), status.stateAge() / 1e6, status.reportedBy(),
            status.incarnation(),
            status.reportAge() < 0 ? ""
                : String.format(Locale.ROOT, " word=%.1fs", status.reportAge() / 1e6),
            status.sameMemberList() ? "" : " other-list",
            status.differingMembers().isEmpty() ? ""
                : String.format(Locale.ROOT, " differs=%s for=%.1fs",
                    String.join(",", status.differingMembers()), status.disagreementAge() / 1e6));
    }

    static String groupsAnswer(List<GroupStatus> statuses) {
        StringBuilder text = new StringBuilder("200 groups=" + statuses.size() + " fresh="
            + statuses.stream().filter(GroupStatus::fresh).count());
        for (GroupStatus status : statuses) {
            String freshness = status.fresh() ? "fresh" : status.reportAge() < 0 ? "unheard" : "stale";
            String reportedCounts = status.reportAge() < 0 ? "" : String.format(Locale.ROOT,
                " present=%d left=%d gone=%d counted=%d agreement=%s age=%.1fs%s", status.presentMembers(),
                status.leftMembers(), status.goneMembers(), status.countedMembers(),
                lowerCaseName(status.agreement()), status.reportAge() / 1e6,
                status.sameMemberList() ? "" : " other-list");
            text.append(System.lineSeparator()).append(status.label()).append(' ').append(freshness)
                .append(" of=").append(status.configuredMembers()).append(reportedCounts)
                .append(status.representative() == null ? "" : " speaker=" + status.representative());
        }
        return text.toString();
    }

    private static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
