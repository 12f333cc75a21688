package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.TransferMemory.Permit;
import dockrelay.proxy.TransferMemory.Reservation;
import dockrelay.proxy.TransferMemory.Stage;
import dockrelay.proxy.TransferMemorySimulation.Rule;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Transfers that waited took the memory that those which had begun needed, so that all stood still. */
class TransferMemoryTest {
    private static final int SCHEDULE_COUNT = 150;
    /** A fault has to be found within this many schedules. */
    private static final int MAX_SCHEDULES_TO_FIND_FAULT = 100;
    private static final long LIMIT = 1 << 20;

    private long usedBytes;
    private final TransferMemory memory = new TransferMemory(() -> usedBytes, () -> usedBytes, LIMIT);

    @Test
    void everyScheduleKeepsTheInvariants() {
        List<String> violations = new ArrayList<>();
        for (long seed = 1; seed <= SCHEDULE_COUNT; seed++) {
            violations.addAll(new TransferMemorySimulation(seed, Rule.TRANSFER_MEMORY).run());
        }
        assertEquals(List.of(), violations);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "TRANSFER_MEMORY")
    void eachFaultyRuleIsFound(Rule rule) {
        for (long seed = 1; seed <= MAX_SCHEDULES_TO_FIND_FAULT; seed++) {
            if (!new TransferMemorySimulation(seed, rule).run().isEmpty()) {
                return;
            }
        }
        throw new AssertionError(rule + " was not found");
    }

    @Test
    void transferThatHasBegunMayAlwaysReadOnceItsReceiverHasTakenAll() {
        usedBytes = Long.MAX_VALUE;
        assertEquals(Permit.ONE_SHORT_READ, memory.permit(Stage.DRAINED));
        assertEquals(Permit.NONE, memory.permit(Stage.FORWARDING));
        assertEquals(Permit.NONE, memory.permit(Stage.RESERVED));
        assertEquals(Permit.NONE, memory.permit(Stage.WAITING));
    }

    @Test
    void waitingTransfersLeaveRoomForThoseThatHaveBegun() {
        usedBytes = LIMIT / 2;
        assertEquals(Permit.NONE, memory.permit(Stage.WAITING));
        assertEquals(Permit.CONTINUOUS, memory.permit(Stage.RESERVED));
        assertEquals(Permit.CONTINUOUS, memory.permit(Stage.FORWARDING));
    }

    @Test
    void reservationsAreGrantedInTurnUpToHalfOfTheMemory() {
        List<Integer> granted = new ArrayList<>();
        List<Reservation> reservations = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int number = i;
            reservations.add(memory.reserve(LIMIT, () -> granted.add(number)));
        }
        assertEquals(LIMIT / 2, memory.reservedBytes());
        assertTrue(reservations.get(3).isGranted());
        assertFalse(reservations.get(4).isGranted());
        reservations.get(4).release();
        reservations.get(0).release();
        assertEquals(List.of(5), granted);
        assertEquals(LIMIT / 2, memory.reservedBytes());
    }

    @Test
    void holderOfMemoryGetsMoreAtOnceOrNotAtAll() {
        Reservation first = memory.reserve(LIMIT, () -> { });
        first.shrinkTo(1_000);
        assertTrue(first.extendTo(2_000));
        for (int i = 0; i < 4; i++) {
            memory.reserve(LIMIT, () -> { });
        }
        assertFalse(first.extendTo(3_000), "others wait for memory");
        assertEquals(2_000 + 3 * LIMIT / 8, memory.reservedBytes());
    }
}
