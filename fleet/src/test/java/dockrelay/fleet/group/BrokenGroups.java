package dockrelay.fleet.group;

import dockrelay.fleet.ProtocolTiming;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** Faulty variants of {@link GroupedMembership}, each with one defect that the simulation has to detect. */
final class BrokenGroups {
    private static class Altered extends GroupedMembership {
        Altered(String self, GroupAssignment grouping, long incarnation, int life, ProtocolTiming pace, Random random,
                Callbacks actions, long now) {
            super(self, grouping, incarnation, life, pace, random, actions, now);
        }
    }

    private BrokenGroups() {
    }

    static Map<String, FleetWorld.Maker> all() {
        Map<String, FleetWorld.Maker> all = new LinkedHashMap<>();
        all.put("queries the same representative forever", (s, g, i, l, p, r, a, t) ->
            new Altered(s, g, i, l, p, r, a, t) {
                private final Map<Integer, String> believed = new HashMap<>();

                @Override
                String isRepresentative(int group, String chosen) {
                    return believed.computeIfAbsent(group, of -> chosen);
                }

                @Override
                String source(String chosen) {
                    return believed.computeIfAbsent(-1, of -> chosen);
                }
            });
        all.put("uses summaries of any age", (s, g, i, l, p, r, a, t) ->
            new Altered(s, g, i, l, p, r, a, t) {
                @Override
                boolean fresh(long age) {
                    return true;
                }
            });
        all.put("understates the age of relayed summaries", (s, g, i, l, p, r, a, t) ->
            new Altered(s, g, i, l, p, r, a, t) {
                @Override
                long aged(long age, long trip) {
                    return 0;
                }
            });
        all.put("adds up the summaries of two representatives of a group", (s, g, i, l, p, r, a, t) ->
            new Altered(s, g, i, l, p, r, a, t) {
                @Override
                Summary taken(Summary before, long beforeAge, Summary told) {
                    return before == null || before.by() == told.by() || beforeAge > p.wordStale() ? told
                        : new Summary(told.key(), told.list(), told.hash(), told.view(), told.present(),
                            told.left(), told.gone(), told.counted() + before.counted(), told.agreement(),
                            told.agreeing(), told.speakers(), told.by());
                }

                @Override
                int counted(Summary of, int names) {
                    return of.counted();
                }
            });
        all.put("counts a moved member in both groups", (s, g, i, l, p, r, a, t) ->
            new Altered(s, g, i, l, p, r, a, t) {
                @Override
                boolean sameNames(int told, int here) {
                    return true;
                }

                @Override
                int counted(Summary of, int names) {
                    return of.counted();
                }
            });
        return all;
    }
}
