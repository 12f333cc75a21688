package dockrelay.proxy;

import dockrelay.proxy.TransferMemory.Permit;
import dockrelay.proxy.TransferMemory.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Many transfers that share a {@link TransferMemory} on a virtual clock: their arrivals, speeds, lengths,
 * pauses and closes, the memory and the moment at which half of it is taken away are drawn by a seed.
 */
final class TransferMemorySimulation {
    /** The rule by which transfers read; all but the first are faults, to prove that the checks find them. */
    enum Rule {
        /** That of {@link TransferMemory}. */
        TRANSFER_MEMORY,
        /** All read while there is room, whatever they wait for, and each may be read ahead. */
        SHARED_LIMIT,
        /** Transfers that have begun are not allowed short reads. */
        NO_SHORT_READS
    }

    private static final long MEGABYTE = 1 << 20;
    /** The memory limit of a process, and its part for messages. */
    private static final int MIN_MEMORY_MEGABYTES = 32, MAX_MEMORY_MEGABYTES = 192, BUFFER_DIVISOR = 8;
    private static final int DURATION_MILLIS = 12_000, LAST_ARRIVAL_MILLIS = 4_000;
    private static final int MAX_TRANSFERS = 300;
    private static final long EVENT_READ_BYTES = 4L * BufferLimit.MAX_READ_BYTES;
    private static final long HIGH_WATER_BYTES = 32 * 1024;
    /** Holding back the rest of what has begun for so long loses the request. */
    private static final int MAX_STAND_MILLIS = 2_000;

    private final long seed;
    private final Rule rule;
    private final SplittableRandom random;
    private final long limitBytes, cutMillis;
    private final double slowSinkShare;
    private final TransferMemory memory;
    private final List<Transfer> transfers = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long heldBytes, nowMillis;

    TransferMemorySimulation(long seed, Rule rule) {
        this.seed = seed;
        this.rule = rule;
        random = new SplittableRandom(seed);
        long memoryMegabytes = (long) logUniform(MIN_MEMORY_MEGABYTES, MAX_MEMORY_MEGABYTES);
        limitBytes = memoryMegabytes * MEGABYTE / BUFFER_DIVISOR;
        cutMillis = random.nextBoolean() ? random.nextInt(LAST_ARRIVAL_MILLIS) : Long.MAX_VALUE;
        slowSinkShare = random.nextBoolean() ? 0.5 : 0.95;
        memory = new TransferMemory(this::usedBytes, this::usedBytes, limitBytes);
        int count = 1 + random.nextInt(MAX_TRANSFERS);
        boolean burst = random.nextBoolean();
        for (int i = 0; i < count; i++) {
            transfers.add(new Transfer(burst ? random.nextInt(100) : random.nextInt(LAST_ARRIVAL_MILLIS)));
        }
    }

    private double logUniform(double min, double max) {
        return min * Math.exp(random.nextDouble() * Math.log(max / min));
    }

    /** Half of the memory may be taken by something else from some moment on. */
    private long usedBytes() {
        return heldBytes + (nowMillis >= cutMillis ? limitBytes / 2 : 0);
    }

    /** Plays all transfers; returns what broke an invariant. */
    List<String> run() {
        for (nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis++) {
            int first = random.nextInt(transfers.size());
            for (int i = 0; i < transfers.size(); i++) {
                transfers.get((first + i) % transfers.size()).step();
            }
            checkBounds();
        }
        for (Transfer transfer : transfers) {
            if (!transfer.begun && !transfer.ended) {
                violate("a transfer that came at " + transfer.arrivalMillis + " ms still waits");
            }
            transfer.end();
        }
        if (memory.reservedBytes() != 0 || heldBytes != 0) {
            violate(memory.reservedBytes() + " bytes reserved and " + heldBytes + " held at the end");
        }
        return violations;
    }

    private void checkBounds() {
        long begun = transfers.stream().filter(transfer -> transfer.begun && !transfer.ended).count();
        long allowed = (nowMillis >= cutMillis ? limitBytes / 2 : 0) + limitBytes
            + transfers.size() * EVENT_READ_BYTES + begun * TransferMemory.SHORT_READ_BYTES;
        if (usedBytes() > allowed || memory.reservedBytes() > limitBytes / 2) {
            violate(usedBytes() + " bytes used, " + memory.reservedBytes() + " reserved, of " + limitBytes);
        }
    }

    private void violate(String what) {
        if (violations.size() < 3) {
            violations.add("seed " + seed + " at " + nowMillis + " ms: " + what);
        }
    }

    /** One body on its way from a source to a sink that is there after a while. */
    private final class Transfer {
        private final int arrivalMillis, connectMillis, deadlineMillis, closeMillis;
        private final boolean needsPresence;
        private final double sourceBytesPerMilli, sinkBytesPerMilli, pauseChance;
        private final long length;
        private long readBytes, keptBytes, queuedBytes, readAheadBytes, lastProgressMillis, sinkPausedUntil;
        private double sourceAllowance, sinkAllowance;
        private TransferMemory.Reservation reservation;
        private boolean begun, ended, sinkWritable = true;

        Transfer(int arrivalMillis) {
            this.arrivalMillis = arrivalMillis;
            connectMillis = arrivalMillis + (int) logUniform(1, 500);
            deadlineMillis = arrivalMillis + (int) logUniform(200, 3_000);
            closeMillis = random.nextInt(8) == 0 ? arrivalMillis + random.nextInt(3_000) : Integer.MAX_VALUE;
            needsPresence = random.nextInt(3) > 0;
            length = (long) logUniform(8_192, 32 * MEGABYTE);
            sourceBytesPerMilli = random.nextInt(3) > 0 ? EVENT_READ_BYTES : logUniform(64, 20_000);
            sinkBytesPerMilli = random.nextDouble() >= slowSinkShare ? EVENT_READ_BYTES
                : logUniform(1, 20_000);
            pauseChance = random.nextInt(4) == 0 ? 0.002 : 0;
        }

        void step() {
            if (ended || nowMillis < arrivalMillis) {
                return;
            }
            sourceAllowance = Math.min(sourceAllowance + sourceBytesPerMilli, 512 * 1024);
            if (nowMillis >= closeMillis || !begun && nowMillis >= deadlineMillis
                && rule != Rule.SHARED_LIMIT) {
                end();
                return;
            }
            drainSink();
            if (!begun && nowMillis >= connectMillis) {
                lookForClient();
            }
            if (!ended) {
                read();
            }
        }

        private void drainSink() {
            if (!begun) {
                return;
            }
            if (nowMillis >= sinkPausedUntil && random.nextDouble() < pauseChance) {
                sinkPausedUntil = nowMillis + random.nextInt(1_500);
            }
            if (nowMillis < sinkPausedUntil) {
                return;
            }
            sinkAllowance = Math.min(sinkAllowance + sinkBytesPerMilli, 256 * 1024);
            long taken = Math.min(queuedBytes, (long) sinkAllowance);
            sinkAllowance -= taken;
            queuedBytes -= taken;
            heldBytes -= taken;
            if (queuedBytes <= HIGH_WATER_BYTES / 2 && !sinkWritable) {
                sinkWritable = true;
                release();
            }
            if (readBytes == length && queuedBytes == 0) {
                end();
            }
        }

        /** The body may be passed on once its client's input was empty. */
        private void lookForClient() {
            boolean known = !needsPresence || readBytes == length || sourceAllowance < 1;
            if (known) {
                begun = true;
                lastProgressMillis = nowMillis;
                queuedBytes = keptBytes;
                keptBytes = 0;
                sinkWritable = queuedBytes <= HIGH_WATER_BYTES;
                if (sinkWritable) {
                    release();
                }
            } else if (readAheadBytes >= memory.maxReservationBytes()) {
                end(); // it can't be found out
            } else if (reservation == null && rule != Rule.SHARED_LIMIT) {
                reservation = memory.reserve(Math.min(length - readBytes, memory.maxReservationBytes()),
                    () -> { });
            }
        }

        private Stage stage() {
            if (begun) {
                return queuedBytes == 0 ? Stage.DRAINED : Stage.FORWARDING;
            }
            return nowMillis >= connectMillis ? Stage.RESERVED : Stage.WAITING;
        }

        private Permit permit(Stage stage) {
            Permit permit = memory.permit(stage);
            if (rule == Rule.SHARED_LIMIT) {
                return memory.hasRoom() ? Permit.CONTINUOUS : Permit.NONE;
            }
            boolean reserved = reservation != null && reservation.isGranted();
            if (stage == Stage.RESERVED && !reserved
                || rule == Rule.NO_SHORT_READS && permit == Permit.ONE_SHORT_READ) {
                return Permit.NONE;
            }
            return permit;
        }

        private void read() {
            Stage stage = stage();
            boolean wanted = begun ? sinkWritable
                : stage == Stage.RESERVED || keptBytes < BufferLimit.MAX_READ_BYTES;
            long available = Math.min((long) sourceAllowance, length - readBytes);
            Permit permit = wanted ? permit(stage) : Permit.NONE;
            long maxRead = permit == Permit.CONTINUOUS ? EVENT_READ_BYTES
                : permit == Permit.ONE_SHORT_READ ? TransferMemory.SHORT_READ_BYTES : 0;
            long count = Math.min(available, maxRead);
            sourceAllowance -= count;
            readBytes += count;
            heldBytes += count;
            if (begun) {
                queuedBytes += count;
                sinkWritable &= queuedBytes <= HIGH_WATER_BYTES;
            } else {
                keptBytes += count;
                readAheadBytes += stage == Stage.RESERVED ? count : 0;
            }
            boolean heldBack = begun && stage == Stage.DRAINED && available > 0 && count == 0;
            lastProgressMillis = heldBack ? lastProgressMillis : nowMillis;
            if (nowMillis - lastProgressMillis >= MAX_STAND_MILLIS) {
                violate("a transfer that has begun stands still though both its peers are ready");
                lastProgressMillis = nowMillis;
            }
        }

        private void release() {
            if (reservation != null) {
                reservation.release();
                reservation = null;
            }
        }

        void end() {
            if (!ended) {
                ended = true;
                heldBytes -= keptBytes + queuedBytes;
                release();
            }
        }
    }
}
