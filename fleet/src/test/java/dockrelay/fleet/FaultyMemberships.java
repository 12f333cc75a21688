package dockrelay.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Faulty variants of {@link Membership}, each with one defect that the simulation has to detect. */
final class FaultyMemberships {
    private static class Variant extends Membership {
        Variant(String self, List<String> names, long incarnation, int instanceId, ProtocolTiming timing,
            Random random, Callbacks callbacks, long now) {
            super(self, names, incarnation, instanceId, timing, random, callbacks, now);
        }
    }

    private FaultyMemberships() {
    }

    static Map<String, MembershipSimulation.Factory> variants() {
        Map<String, MembershipSimulation.Factory> variants = new LinkedHashMap<>();
        variants.put("never refutes a suspicion of itself",
            (self, names, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, names, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                void refute(long now, Datagram.MemberUpdate update) {
                }
            });
        variants.put("does not raise its incarnation above a forgotten one",
            (self, names, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, names, 1, instanceId, timing, random, callbacks, startTime) {
                @Override
                void refute(long now, Datagram.MemberUpdate update) {
                    if (update.incarnation() <= 1) {
                        super.refute(now, update);
                    }
                }
            });
        variants.put("does not extend time-outs after a pause",
            (self, names, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, names, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                void extendDeadlinesAfterStall(long now) {
                }
            });
        variants.put("reports a state as stable right after a change",
            (self, names, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, names, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                boolean isStable(long unchangedFor) {
                    return true;
                }
            });
        variants.put("understates the age of view reports",
            (self, names, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, names, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                long ageAfterRoundTrip(long age, long roundTrip) {
                    return 0;
                }
            });
        variants.put("never pings members that are gone or have left",
            (self, names, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, names, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                void pingAbsent(long now, Member member) {
                    if (member.state == MemberState.JOINING) {
                        super.pingAbsent(now, member);
                    }
                }
            });
        variants.put("accepts a gone report without suspicion",
            (self, names, incarnation, instanceId, timing, random, callbacks, startTime) ->
            new Variant(self, names, incarnation, instanceId, timing, random, callbacks, startTime) {
                @Override
                boolean requiresSuspicion(Datagram.MemberUpdate update, MemberState currentState) {
                    return false;
                }
            });
        return variants;
    }
}
