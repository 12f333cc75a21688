package dockrelay.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Members each of which gets one thing wrong: the simulation has to notice. */
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
        all.put("counters nothing that is said of it", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                void counter(long now, Datagram.Entry entry) {
                }
            });
        all.put("does not take a higher incarnation than its forgotten one", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, 1, l, p, r, a, t) {
                @Override
                void counter(long now, Datagram.Entry entry) {
                    if (entry.incarnation() <= 1) {
                        super.counter(now, entry);
                    }
                }
            });
        all.put("goes by its timers after a stop", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                void stall(long now) {
                }
            });
        all.put("calls steady what has just changed", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                boolean steady(long unchanged) {
                    return true;
                }
            });
        all.put("under-states the age of words", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                long aged(long age, long trip) {
                    return 0;
                }
            });
        all.put("never tries those that are away", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                void reachOut(long now, Member away) {
                    if (away.state == MemberState.JOINING) {
                        super.reachOut(now, away);
                    }
                }
            });
        all.put("takes gone at its word", (s, n, i, l, p, r, a, t) ->
            new Altered(s, n, i, l, p, r, a, t) {
                @Override
                boolean doubts(Datagram.Entry entry, MemberState held) {
                    return false;
                }
            });
        return all;
    }
}
