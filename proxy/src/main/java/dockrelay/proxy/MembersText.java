package dockrelay.proxy;

import dockrelay.fleet.Row;
import dockrelay.fleet.Standing;
import dockrelay.fleet.group.GroupRow;
import java.util.List;
import java.util.Locale;

/** What the console answers of the fleet: a first line of figures, then a line a member or a group. */
final class MembersText {
    private MembersText() {
    }

    /** The figures are of the whole fleet but for the digest and the health, which are of the own group. */
    static String figures(Standing standing, String digest, int health, long suspicions, long clashes) {
        return String.format(Locale.ROOT, "200 present=%d of=%d agreement=%s agreeing=%d digest=%s "
            + "counted=%d share=%.6f health=%d suspicions=%d clashes=%d", standing.present(),
            standing.configured(), lower(standing.agreement()), standing.agreeing(), digest,
            standing.members(), standing.share(), health, suspicions, clashes);
    }

    /** Which part of the fleet the lines are of, and how old what is told of the others may be. */
    static String place(Standing standing, int groups, String group, boolean speaker) {
        return String.format(Locale.ROOT, " age=%.1fs groups=%d group=%s speaker=%s", standing.age() / 1e6,
            groups, group, speaker ? "yes" : "no");
    }

    static String member(Row row) {
        return String.format(Locale.ROOT, "%s %s for=%.1fs by=%s incarnation=%d%s%s%s", row.name(),
            lower(row.state()), row.since() / 1e6, row.by(), row.incarnation(),
            row.wordAge() < 0 ? "" : String.format(Locale.ROOT, " word=%.1fs", row.wordAge() / 1e6),
            row.sameList() ? "" : " other-list", row.differsIn().isEmpty() ? "" : String.format(Locale.ROOT,
                " differs=%s for=%.1fs", String.join(",", row.differsIn()), row.differsFor() / 1e6));
    }

    static String groups(List<GroupRow> rows) {
        StringBuilder text = new StringBuilder("200 groups=" + rows.size() + " fresh="
            + rows.stream().filter(GroupRow::fresh).count());
        for (GroupRow row : rows) {
            String state = row.fresh() ? "fresh" : row.age() < 0 ? "unheard" : "stale";
            String said = row.age() < 0 ? "" : String.format(Locale.ROOT,
                " present=%d left=%d gone=%d counted=%d agreement=%s age=%.1fs%s", row.present(), row.left(),
                row.gone(), row.counted(), lower(row.agreement()), row.age() / 1e6,
                row.sameList() ? "" : " other-list");
            text.append(System.lineSeparator()).append(row.label()).append(' ').append(state).append(" of=")
                .append(row.names()).append(said)
                .append(row.speaker() == null ? "" : " speaker=" + row.speaker());
        }
        return text.toString();
    }

    private static String lower(Enum<?> word) {
        return word.name().toLowerCase(Locale.ROOT);
    }
}
