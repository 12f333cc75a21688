package dockrelay.fleet.group;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.group.Message.Kind;
import java.util.ArrayList;
import java.util.List;

/** Looks up a member of another group by asking members of that group. */
final class Finder {
    private static final int MOST_TRIES = 6, MOST_SEARCHES = 32;

    /** A lookup in progress. */
    static final class Search {
        final String name;
        final int group;
        int tries;
        boolean ended;

        Search(String name, int group) {
            this.name = name;
            this.group = group;
        }
    }

    private final Between here;
    private final List<Search> searches = new ArrayList<>();

    Finder(Between here) {
        this.here = here;
    }

    void find(long now, String name) {
        int group = here.grouping.groupOf(name);
        if (group < 0 || group == here.own) {
            here.found(name, row(now, name));
            return;
        }
        if (searches.size() >= MOST_SEARCHES) {
            end(searches.get(0), null);
        }
        Search search = new Search(name, group);
        searches.add(search);
        ask(now, search);
    }

    private MemberStatus row(long now, String name) {
        return here.members.memberStatuses(now).stream().filter(row -> row.name().equals(name)).findFirst()
            .orElse(null);
    }

    private void ask(long now, Search search) {
        if (search.ended) {
            return;
        }
        if (search.tries++ >= MOST_TRIES) {
            end(search, null);
            return;
        }
        List<String> names = here.grouping.memberNames(search.group);
        Summary held = here.table.summary(search.group);
        int index = held == null || search.tries > held.speakers().length ? -1
            : here.grouping.roster(search.group).indexOf(held.speakers()[search.tries - 1]);
        String to = names.get(index >= 0 ? index : here.random.nextInt(names.size()));
        Question question = here.questions.ask(now, Kind.ASK_NAME, to, search.group, search);
        here.send(to, here.writer(Kind.ASK_NAME, question.sequence).name(search.name));
    }

    void failed(long now, Question question) {
        ask(now, question.search);
    }

    /** Answers without a status if the name is not in this group: on the asker's list it may be elsewhere. */
    void answer(long now, String from, Message asked) {
        if (asked.name != null && here.joined()) {
            Writer writer = here.writer(Kind.TELL_NAME, asked.sequence);
            if (here.grouping.groupOf(asked.name) == here.own) {
                writer.member(row(now, asked.name));
            }
            here.send(from, writer);
        }
    }

    void told(long now, Question question, Message told) {
        if (told.member != null && told.member.name().equals(question.search.name)) {
            end(question.search, told.member);
        } else {
            ask(now, question.search);
        }
    }

    /** Ends all lookups without a result. */
    void end() {
        new ArrayList<>(searches).forEach(search -> end(search, null));
    }

    private void end(Search search, MemberStatus row) {
        if (!search.ended) {
            search.ended = true;
            searches.remove(search);
            here.found(search.name, row);
        }
    }
}
