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
        variants.put("queries the same representative forever",
            (self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) {
                private final Map<Integer, String> firstTargets = new HashMap<>();

                @Override
                String groupQueryTarget(int group, String selected) {
                    return firstTargets.computeIfAbsent(group, key -> selected);
                }

                @Override
                String tableQueryTarget(String selected) {
                    return firstTargets.computeIfAbsent(-1, key -> selected);
                }
            });
        variants.put("uses summaries of any age",
            (self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                boolean isFresh(long age) {
                    return true;
                }
            });
        variants.put("understates the age of relayed summaries",
            (self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                long ageAfterRoundTrip(long age, long roundTrip) {
                    return 0;
                }
            });
        variants.put("adds up the summaries of two representatives of a group",
            (self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                GroupSummary mergeSummary(GroupSummary stored, long storedAge, GroupSummary received) {
                    return stored == null || stored.reporterId() == received.reporterId()
                        || storedAge > timing.reportExpiry() ? received
                        : new GroupSummary(received.key(), received.listHash(), received.namesHash(),
                        received.viewHash(), received.presentMembers(), received.leftMembers(),
                        received.goneMembers(), received.countedMembers() + stored.countedMembers(),
                        received.agreement(), received.agreeingMembers(), received.representatives(),
                        received.reporterId());
                }

                @Override
                int countedMembers(GroupSummary summary, int nameCount) {
                    return summary.countedMembers();
                }
            });
        variants.put("counts a moved member in both groups",
            (self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, assignment, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                boolean hasSameNames(int received, int ownHash) {
                    return true;
                }

                @Override
                int countedMembers(GroupSummary summary, int nameCount) {
                    return summary.countedMembers();
                }
            });
        return variants;
    }
}
