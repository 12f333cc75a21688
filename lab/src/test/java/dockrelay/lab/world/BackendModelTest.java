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

/** Tests the capacity model: conservation of work, the slowdown under overload, crashes while cold. */
class BackendModelTest {
    private static final long SECOND_MICROS = 1_000_000;

    /**
     * Two cores of speed 1.5, 4 slots, a queue of 3. Slows down by a factor of 3 after one second with at
     * least 2.5 requests per core.
     */
    private static Figures twoCoreBackend() {
        return new Figures(2, 1.5, 4, 3, 2.5, SECOND_MICROS, 3, 0.5, SECOND_MICROS, 10 * SECOND_MICROS, 0.3,
            4 * SECOND_MICROS, false, 3, SECOND_MICROS, 100, 0, 0, 0, 0, 0, 0, 0, true, true);
    }

    /**
     * Random schedules from fixed seeds: the work done equals the work accepted, and no job finishes sooner
     * than one core could finish it alone.
     */
    @Test
    void workDoneEqualsWorkAcceptedAndNeverExceedsCoreCapacity() {
        for (int seed = 0; seed < 300; seed++) {
            RandomGenerator random = RandomStreams.stream(seed, "schedule");
            boolean cold = random.nextBoolean();
            BackendModel model = new BackendModel(twoCoreBackend(), 0, cold);
            Map<Long, double[]> openJobs = new HashMap<>();
            List<Long> endedJobs = new ArrayList<>();
            double acceptedWork = 0, workOnCancelledJobs = 0;
            long now = 0;
            for (long id = 0; id < 300 && !model.isCrashed(); id++) {
                now += Math.round(random.nextExponential() * 30_000);
                double work = 1 + random.nextExponential() * 60_000;
                boolean hasRoom = model.requestCount() < 7;
                if (model.offer(now, id, work, endedJobs)) {
                    openJobs.put(id, new double[] {work, now});
                    acceptedWork += work;
                } else {
                    model.advance(now, endedJobs);
                    assertTrue(model.isCrashed() || !hasRoom || model.requestCount() >= 7,
                        "rejected although slots or queue were free, seed " + seed);
                }
                if (random.nextInt(10) == 0 && !openJobs.isEmpty()) {
                    long cancelledId = openJobs.keySet().iterator().next();
                    double workReceived = model.cancel(now, cancelledId, endedJobs);
                    if (workReceived >= 0) {
                        double[] job = openJobs.remove(cancelledId);
                        assertTrue(workReceived <= job[0] + 1e-6);
                        acceptedWork -= job[0];
                        workOnCancelledJobs += workReceived;
                    }
                }
                for (long endedId : endedJobs) {
                    double[] job = openJobs.remove(endedId);
                    assertTrue(now - job[1] >= job[0] / 1.5 - 1,
                        "job finished sooner than one core can finish it, seed " + seed);
                }
                endedJobs.clear();
                assertTrue(model.workDone() <= 3.0 * now + 1, "did more work than both cores can, seed "
                    + seed);
            }
            if (!model.isCrashed()) {
                model.advance(now + 1000 * SECOND_MICROS, endedJobs);
                assertEquals(0, model.requestCount(), "requests left at the end, seed " + seed);
                assertEquals(acceptedWork + workOnCancelledJobs, model.workDone(), 1e-3 * acceptedWork,
                    "work done differs from work accepted, seed " + seed);
            }
        }
    }

    @Test
    void overloadedBackendSlowsDownAndRecoversAfterLowLoad() {
        BackendModel model = new BackendModel(twoCoreBackend(), 0, false);
        List<Long> endedJobs = new ArrayList<>();
        for (long id = 0; id < 6; id++) {
            assertTrue(model.offer(0, id, 20 * SECOND_MICROS, endedJobs));
        }
        model.advance(900_000, endedJobs);
        assertFalse(model.isOverloaded());
        model.advance(1_100_000, endedJobs);
        assertTrue(model.isOverloaded());
        for (long id = 0; id < 6; id++) {
            model.cancel(1_100_000, id, endedJobs);
        }
        model.advance(2_000_000, endedJobs);
        assertTrue(model.isOverloaded());
        model.advance(2_200_000, endedJobs);
        assertFalse(model.isOverloaded());
    }

    /**
     * The cold backend has a capacity of 0.9 work units per microsecond; three times that plus the tolerance
     * for random peaks crashes it.
     */
    @Test
    void onlyAColdBackendCrashesAboveTheOverloadMultiple() {
        for (boolean cold : new boolean[] {false, true}) {
            for (double load : new double[] {2.5, 3.8}) {
                BackendModel model = new BackendModel(twoCoreBackend(), 0, cold);
                List<Long> endedJobs = new ArrayList<>();
                for (long id = 0; id < 100; id++) {
                    model.offer(id * 3_000, id, load * 1.06 * SECOND_MICROS / 100, endedJobs);
                }
                assertEquals(cold && load > 3, model.isCrashed(), "cold " + cold + ", load " + load);
            }
        }
    }
}
