package dockrelay.proxy;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A value that is costly to compute and is asked for at each read: computed again once it is a quarter of a
 * millisecond old. All on the event loop's thread.
 */
final class SampledGauge implements LongSupplier {
    private static final long MAX_AGE_NANOS = TimeUnit.MICROSECONDS.toNanos(250);

    private final LongSupplier exactValue;
    private long value, sampledNanos;
    private boolean sampled;

    SampledGauge(LongSupplier exactValue) {
        this.exactValue = exactValue;
    }

    @Override
    public long getAsLong() {
        long now = System.nanoTime();
        if (!sampled || now - sampledNanos >= MAX_AGE_NANOS) {
            sampled = true;
            sampledNanos = now;
            value = exactValue.getAsLong();
        }
        return value;
    }
}
