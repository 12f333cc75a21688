package dockrelay.fleet.group;

import dockrelay.fleet.ProtocolTiming;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** Machines each of which gets one thing wrong: the simulation has to notice. */
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
        all.put("believes a speaker for ever", (s, g, i, l, p, r, a, t) ->
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
        all.put("goes by a summary whatever its age", (s, g, i, l, p, r, a, t) ->
            new Altered(s, g, i, l, p, r, a, t) {
                @Override
                boolean fresh(long age) {
                    return true;
                }
            });
        all.put("takes what is passed on for new", (s, g, i, l, p, r, a, t) ->
            new Altered(s, g, i, l, p, r, a, t) {
                @Override
                long aged(long age, long trip) {
                    return 0;
                }
            });
        all.put("counts what two speakers say of one group twice", (s, g, i, l, p, r, a, t) ->
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
        all.put("counts a moved name in both groups", (s, g, i, l, p, r, a, t) ->
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
