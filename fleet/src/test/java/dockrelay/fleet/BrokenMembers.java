package dockrelay.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Faulty variants of {@link Membership}, each with one defect that the simulation has to detect. */
final class BrokenMembers {
    private static class Altered extends Membership {
        Altered(String self, List<String> names, long incarnation, int life, ProtocolTiming pace, Random random,
                Callbacks actions, long now) {
            super(self, names, incarnation, life, pace, random, actions, now);
        }
    }

    private BrokenMembers() {
    }

    static Map<String, Simulation.Maker> all() {
        Map<String, Simulation.Maker> all = new LinkedHashMap<>();
        all.put("never refutes a suspicion of itself", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                void counter(long now, Datagram.Entry entry) {
                }
            });
        all.put("does not raise its incarnation above a forgotten one", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, 1, l, p, r, a, t) {
                @Override
                void counter(long now, Datagram.Entry entry) {
                    if (entry.incarnation() <= 1) {
                        super.counter(now, entry);
                    }
                }
            });
        all.put("does not extend time-outs after a pause", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                void stall(long now) {
                }
            });
        all.put("reports a state as stable right after a change", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                boolean steady(long unchanged) {
                    return true;
                }
            });
        all.put("understates the age of view reports", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                long aged(long age, long trip) {
                    return 0;
                }
            });
        all.put("never pings members that are gone or have left", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                void reachOut(long now, Member away) {
                    if (away.state == MemberState.JOINING) {
                        super.reachOut(now, away);
                    }
                }
            });
        all.put("accepts a gone report without suspicion", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                boolean doubts(Datagram.Entry entry, MemberState held) {
                    return false;
                }
            });
        return all;
    }
}
