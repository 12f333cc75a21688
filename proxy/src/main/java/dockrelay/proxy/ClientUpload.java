package dockrelay.proxy;

import dockrelay.proxy.UploadMonitor.Deadlines;
import dockrelay.proxy.UploadMonitor.Presence;
import dockrelay.proxy.UploadMonitor.Step;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;

/**
 * The streamed body of a client's request: plays its {@link UploadMonitor} on the client's connection. All on
 * the event loop's thread.
 */
final class ClientUpload implements Body.Source, BufferLimit.PauseListener, RequestTable.Arrival {
    private final Counters counters;
    private final ClientInput input;
    private final InputProbe probe;
    private final UploadMonitor monitor;
    private final UploadStatistics statistics;
    private final BufferLimit.FlowControl flowControl;
    private final TransferMemory memory;
    private final Body body;
    private TransferMemory.Reservation reservation; // of memory for reading ahead, else null
    private boolean stopped, reservationExhausted;

    /**
     * Starts to stream a body.
     *
     * @param declaredBytes length of the body, negative if it is not declared
     * @param receivedBytes bytes of the body that have been read already
     */
    ClientUpload(Channel channel, ClientInput input, InputProbe probe, BufferLimit bufferLimit,
                 Counters counters, long budgetMicros, long declaredBytes, long receivedBytes) {
        long now = System.nanoTime();
        this.probe = probe;
        this.counters = counters;
        this.input = input;
        memory = bufferLimit.memory();
        monitor = new UploadMonitor(input, Deadlines.ofBudgetMicros(budgetMicros), declaredBytes,
            receivedBytes, memory.maxReservationBytes(), now);
        statistics = new UploadStatistics(now, receivedBytes);
        flowControl = bufferLimit.new FlowControl(channel, this, this::stage);
        body = new Body(this, BufferLimit.MAX_READ_BYTES, statistics);
    }

    Body body() {
        return body;
    }

    /** Records a content of the body, which is then to be added to it. */
    void received(HttpContent content) {
        long now = System.nanoTime();
        int count = content.content().readableBytes();
        boolean isLast = content instanceof LastHttpContent;
        statistics.read(now, count, isLast);
        monitor.bytesRead(now, count);
        if (isLast) {
            monitor.completed(now);
        }
    }

    /** Called after a content was added to the body, which may have filled the buffers. */
    void afterRead() {
        applyDemand();
        flowControl.afterRead();
    }

    private TransferMemory.Stage stage() {
        return monitor.isReadingAhead() ? TransferMemory.Stage.RESERVED : body.stage();
    }

    /** The client's input was found to be empty. */
    void inputEmpty() {
        monitor.inputEmpty();
        if (reservation != null && reservation.isGranted()) {
            reservation.shrinkTo(monitor.readAheadBytes());
        } else {
            releaseReservation(); // no more is needed
        }
        applyDemand();
    }

    /** Flow control no longer applies: the connection is read, so that the client's close is noticed. */
    void stop() {
        release();
        flowControl.stop();
    }

    /** Releases the memory that is reserved; the rest of the body, if there is one, isn't read any more. */
    void release() {
        stopped = true;
        releaseReservation();
    }

    private void releaseReservation() {
        if (reservation != null) {
            TransferMemory.Reservation released = reservation;
            reservation = null;
            reservationExhausted = false;
            released.release();
        }
    }

    /** Whether the client is still connected; if that is pending, it is being read to find out. */
    Presence clientPresence() {
        Presence presence = monitor.clientPresence(System.nanoTime());
        applyDemand();
        return presence == Presence.PENDING && reservationExhausted ? Presence.UNKNOWN : presence;
    }

    private void applyDemand() {
        if (!stopped) {
            flowControl.setReadEnabled(monitor.wantsRead()
                && (!monitor.isReadingAhead() || hasReservation()));
        }
    }

    /** Whether memory is reserved for all that is to be read ahead; asks for it if not. */
    private boolean hasReservation() {
        if (reservation == null) {
            reservation = memory.reserve(monitor.maxRemainingReadAhead(), this::applyDemand);
        }
        boolean granted = reservation.isGranted();
        reservationExhausted = granted
            && !reservation.extendTo(monitor.readAheadBytes() + monitor.maxRemainingReadAhead());
        return granted && !reservationExhausted;
    }

    @Override
    public void setReadEnabled(boolean enabled) {
        monitor.setSinkWritable(enabled);
        if (enabled) {
            releaseReservation();
        }
        applyDemand();
    }

    @Override
    public void onDiscarded() {
        // the response to the client reports it
    }

    @Override
    public void onPaused(boolean memoryShort) {
        long now = System.nanoTime();
        counters.onPaused(memoryShort);
        statistics.paused(now);
        input.paused(now);
    }

    @Override
    public void onResumed() {
        long now = System.nanoTime();
        statistics.resumed(now);
        input.resumed();
    }

    @Override
    public long maxMicrosSinceEnd() {
        return TimeUnit.NANOSECONDS.toMicros(monitor.maxAgeNanos(System.nanoTime()));
    }

    @Override
    public Step checkTime() {
        long now = System.nanoTime();
        Step step = monitor.step(now);
        applyDemand();
        if (monitor.needsProbe(now)) {
            probe.start();
        }
        return step;
    }

    @Override
    public long nanosUntilNextCheck() {
        return monitor.nanosUntilNextStep(System.nanoTime());
    }
}
