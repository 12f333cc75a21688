package dockrelay.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Accounts for the memory of all messages in transit and decides what each transfer may read. A pure state
 * machine: the caller tells what is in use, and carries out the decisions.
 *
 * <p>Invariant: a transfer whose receiver has taken everything read so far may always read on, whatever the
 * memory in use. So each transfer that has begun is limited by its two peers alone. A transfer that waits
 * (for a receiver, for a reservation, or to learn whether its client is still there) may only use memory
 * that these do not need: it waits for transfers that have begun, and none of those ever waits for it.
 *
 * <p>The memory in use exceeds the limit by one short read for each transfer that has begun, at most, plus
 * what was read in the event in which the limit was reached.
 */
final class TransferMemory {
    /** Bytes of a read while memory is short. */
    static final int SHORT_READ_BYTES = 4 * 1024;
    /** Transfers that wait for a receiver may fill the limit divided by this number. */
    private static final int WAITING_DIVISOR = 2;
    /** All reservations together may take the limit divided by this number. */
    private static final int RESERVATIONS_DIVISOR = 2;
    /** One reservation may take the limit divided by this number. */
    private static final int RESERVATION_DIVISOR = 8;

    /** How far a transfer has come. */
    enum Stage {
        /** It has no receiver yet; what is read is kept. */
        WAITING,
        /** It is read ahead of its receiver, or before it has one, within a reservation. */
        RESERVED,
        /** It is being passed on, and its receiver has not taken all of it yet. */
        FORWARDING,
        /** It is being passed on, and its receiver has taken all that was read. */
        DRAINED
    }

    /** What a transfer may read at the moment. */
    enum Permit {
        /** Whatever arrives. */
        CONTINUOUS,
        /** {@link #SHORT_READ_BYTES} once. */
        ONE_SHORT_READ,
        /** Nothing. */
        NONE
    }

    private final LongSupplier usedBytes, liveBytes;
    private final long limitBytes;
    private final Deque<Reservation> queue = new ArrayDeque<>();
    private long reservedBytes;

    /**
     * Memory with a limit, in bytes.
     *
     * @param usedBytes what is taken from the system, whether or not it is filled
     * @param liveBytes the part of it that is filled
     */
    TransferMemory(LongSupplier usedBytes, LongSupplier liveBytes, long limitBytes) {
        this.usedBytes = usedBytes;
        this.liveBytes = liveBytes;
        this.limitBytes = limitBytes;
    }

    /** Whether the memory in use is below the limit. */
    boolean hasRoom() {
        return usedBytes.getAsLong() < limitBytes;
    }

    /** What a transfer in this stage may read. */
    Permit permit(Stage stage) {
        boolean permitted = hasRoom()
            && (stage != Stage.WAITING || liveBytes.getAsLong() < limitBytes / WAITING_DIVISOR);
        if (permitted) {
            return Permit.CONTINUOUS;
        }
        return stage == Stage.DRAINED ? Permit.ONE_SHORT_READ : Permit.NONE;
    }

    /** The most that one transfer may reserve, in bytes. */
    long maxReservationBytes() {
        return limitBytes / RESERVATION_DIVISOR;
    }

    /** The memory that is reserved at the moment, in bytes. */
    long reservedBytes() {
        return reservedBytes;
    }

    /**
     * Reserves memory for reading ahead, now or when it is its turn.
     *
     * @param bytes at most {@link #maxReservationBytes}
     * @param onGranted run once the memory is reserved, unless it was at once
     */
    Reservation reserve(long bytes, Runnable onGranted) {
        Reservation reservation = new Reservation(Math.min(bytes, maxReservationBytes()), onGranted);
        if (queue.isEmpty() && fits(reservation)) {
            reservation.grant();
        } else {
            queue.add(reservation);
        }
        return reservation;
    }

    private boolean fits(Reservation reservation) {
        return reservedBytes + reservation.bytes <= limitBytes / RESERVATIONS_DIVISOR;
    }

    private void grantQueued() {
        while (!queue.isEmpty() && fits(queue.peek())) {
            Reservation next = queue.remove();
            next.grant();
            next.onGranted.run();
        }
    }

    /** Memory set aside for one transfer, or its place in the queue for it. */
    final class Reservation {
        private final Runnable onGranted;
        private long bytes;
        private boolean granted;

        private Reservation(long bytes, Runnable onGranted) {
            this.bytes = bytes;
            this.onGranted = onGranted;
        }

        private void grant() {
            granted = true;
            reservedBytes += bytes;
        }

        /** Whether the memory is reserved. */
        boolean isGranted() {
            return granted;
        }

        /**
         * Reserves up to this much in all if it can be done at once; returns whether it could. Who holds
         * memory never waits for more.
         */
        boolean extendTo(long neededBytes) {
            long added = Math.min(neededBytes, maxReservationBytes()) - bytes;
            if (added <= 0) {
                return true;
            }
            if (!queue.isEmpty() || reservedBytes + added > limitBytes / RESERVATIONS_DIVISOR) {
                return false;
            }
            reservedBytes += added;
            bytes += added;
            return true;
        }

        /** Returns what is reserved beyond this, as no more will be read ahead. */
        void shrinkTo(long neededBytes) {
            if (granted && neededBytes < bytes) {
                reservedBytes -= bytes - neededBytes;
                bytes = neededBytes;
                grantQueued();
            }
        }

        /** Returns everything, or gives up the place in the queue. */
        void release() {
            if (granted) {
                granted = false;
                reservedBytes -= bytes;
            } else {
                queue.remove(this);
            }
            bytes = 0;
            grantQueued();
        }
    }
}
