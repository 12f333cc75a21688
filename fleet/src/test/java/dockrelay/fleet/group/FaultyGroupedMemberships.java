package dockrelay.fleet.group;

import dockrelay.fleet.ProtocolTiming;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** Faulty variants of {@link GroupedMembership}, each with one defect that the simulation has to detect. */
final class FaultyGroupedMemberships {
    private static class Variant extends GroupedMembership {
        Variant(String self, GroupAssignment assignment, long incarnation, int instanceId,
            ProtocolTiming timing, Random random, Callbacks callbacks, long now) {
            super(self, assignment, incarnation, instanceId, timing, random, callbacks, now);
        }
    }

    private FaultyGroupedMemberships() {
    }

    static Map<String, FleetSimulation.Factory> variants() {
        Map<String, FleetSimulation.Factory> variants = new LinkedHashMap<>();
        variants.put("queries the same representative forever", (self, assignment, incarnation, instanceId,
            timing, random, callbacks, startTime) -> new Variant(self, assignment, incarnation, instanceId,
            timing, random, callbacks, startTime) {
                private final Map<Integer, String> believed = new HashMap<>();

                @Override
                String groupQueryTarget(int group, String chosen) {
                    return believed.computeIfAbsent(group, of -> chosen);
                }

                @Override
                String tableQueryTarget(String chosen) {
                    return believed.computeIfAbsent(-1, of -> chosen);
                }
            });
        variants.put("uses summaries of any age", (self, assignment, incarnation, instanceId, timing, random,
            callbacks, startTime) -> new Variant(self, assignment, incarnation, instanceId, timing, random,
            callbacks, startTime) {
                @Override
                boolean isFresh(long age) {
                    return true;
                }
            });
        variants.put("understates the age of relayed summaries", (self, assignment, incarnation, instanceId,
            timing, random, callbacks, startTime) -> new Variant(self, assignment, incarnation, instanceId,
            timing, random, callbacks, startTime) {
                @Override
                long ageAfterRoundTrip(long age, long trip) {
                    return 0;
                }
            });
        variants.put("adds up the summaries of two representatives of a group",
            (self, assignment, incarnation, instanceId, timing, random, callbacks,
            startTime) -> new Variant(self, assignment, incarnation, instanceId, timing, random, callbacks,
            startTime) {
                @Override
                GroupSummary mergeSummary(GroupSummary before, long beforeAge, GroupSummary told) {
                    return before == null || before.reporterId() == told.reporterId()
                        || beforeAge > timing.reportExpiry() ? told
                        : new GroupSummary(told.key(), told.listHash(), told.namesHash(), told.viewHash(),
                        told.presentMembers(), told.leftMembers(), told.goneMembers(), told.countedMembers()
                        + before.countedMembers(), told.agreement(), told.agreeingMembers(),
                        told.representatives(), told.reporterId());
                }

                @Override
                int countedMembers(GroupSummary of, int names) {
                    return of.countedMembers();
                }
            });
        variants.put("counts a moved member in both groups", (self, assignment, incarnation, instanceId,
            timing, random, callbacks, startTime) -> new Variant(self, assignment, incarnation, instanceId,
            timing, random, callbacks, startTime) {
                @Override
                boolean hasSameNames(int told, int here) {
                    return true;
                }

                @Override
                int countedMembers(GroupSummary of, int names) {
                    return of.countedMembers();
                }
            });
        return variants;
    }
}
