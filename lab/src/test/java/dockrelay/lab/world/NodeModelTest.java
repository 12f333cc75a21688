package dockrelay.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.plan.Plan.Figures;
import dockrelay.lab.plan.RandomStreams;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

class NodeModelTest {
    private static final long SECOND = 1_000_000;

    /**
     * Two cores of speed 1.5; 4 slots, a waiting room of 3; slower by 3 after a second with 5 a core or more.
     */
    private static Figures figures() {
        return new Figures(2, 1.5, 4, 3, 2.5, SECOND, 3, 0.5, SECOND, 10 * SECOND, 0.3, 4 * SECOND, false, 3,
            SECOND, 100, 0, 0, 0, 0, 0, 0, 0, true, true);
    }

    /**
     * Seeded schedules: work is neither lost nor made, and no job ends before a core alone could have done
     * it.
     */
    @Test
    void whatIsDoneIsWhatWasGivenAndNoMoreThanTheCoresCan() {
        for (int seed = 0; seed < 300; seed++) {
            RandomGenerator random = RandomStreams.stream(seed, "schedule");
            boolean cold = random.nextBoolean();
            NodeModel model = new NodeModel(figures(), 0, cold);
            Map<Long, double[]> open = new HashMap<>();
            List<Long> ended = new ArrayList<>();
            double given = 0, spentOnStopped = 0;
            long now = 0;
            for (long id = 0; id < 300 && !model.fallen(); id++) {
                now += Math.round(random.nextExponential() * 30_000);
                double work = 1 + random.nextExponential() * 60_000;
                boolean room = model.held() < 7;
                if (model.offer(now, id, work, ended)) {
                    open.put(id, new double[] {work, now});
                    given += work;
                } else {
                    model.advance(now, ended);
                    assertTrue(model.fallen() || !room || model.held() >= 7, "turned away with room, seed "
                        + seed);
                }
                if (random.nextInt(10) == 0 && !open.isEmpty()) {
                    long victim = open.keySet().iterator().next();
                    double had = model.cancel(now, victim, ended);
                    if (had >= 0) {
                        double[] job = open.remove(victim);
                        assertTrue(had <= job[0] + 1e-6);
                        given -= job[0];
                        spentOnStopped += had;
                    }
                }
                for (long done : ended) {
                    double[] job = open.remove(done);
                    assertTrue(now - job[1] >= job[0] / 1.5 - 1, "sooner than a core can, seed " + seed);
                }
                ended.clear();
                assertTrue(model.done() <= 3.0 * now + 1, "more than both cores can, seed " + seed);
            }
            if (!model.fallen()) {
                model.advance(now + 1000 * SECOND, ended);
                assertEquals(0, model.held(), "all ends, seed " + seed);
                assertEquals(given + spentOnStopped, model.done(), 1e-3 * given, "work, seed " + seed);
            }
        }
    }

    @Test
    void aCrowdedNodeTurnsSlowerAndRecoversOnceMostlyIdle() {
        NodeModel model = new NodeModel(figures(), 0, false);
        List<Long> ended = new ArrayList<>();
        for (long id = 0; id < 6; id++) {
            assertTrue(model.offer(0, id, 20 * SECOND, ended));
        }
        model.advance(900_000, ended);
        assertFalse(model.choked());
        model.advance(1_100_000, ended);
        assertTrue(model.choked());
        for (long id = 0; id < 6; id++) {
            model.cancel(1_100_000, id, ended);
        }
        model.advance(2_000_000, ended);
        assertTrue(model.choked());
        model.advance(2_200_000, ended);
        assertFalse(model.choked());
    }

    /**
     * It can do 0.9 of work a microsecond when cold: three times that, and some for chance, pushes it over.
     */
    @Test
    void aColdNodeFallsOverAtTheMultipleAndAWarmOneNever() {
        for (boolean cold : new boolean[] {false, true}) {
            for (double load : new double[] {2.5, 3.8}) {
                NodeModel model = new NodeModel(figures(), 0, cold);
                List<Long> ended = new ArrayList<>();
                for (long id = 0; id < 100; id++) {
                    model.offer(id * 3_000, id, load * 1.06 * SECOND / 100, ended);
                }
                assertEquals(cold && load > 3, model.fallen(), "cold " + cold + ", load " + load);
            }
        }
    }
}
