package dockrelay.lab.starvation;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What was counted since the look before, in microseconds: how late the lab's own acts were, what the cores
 * did that the lab may use, and what each process under test had.
 */
public record Look(long at, long length, Histogram generator, Histogram world, Histogram clients,
                   CoreTime cores, List<Share> shares) {

    /**
     * One process. It serves once it has said that it can; the cores are those that it may run on.
     */
    public record Share(String proxy, long process, boolean serves, ProcessorTime time, CoreTime cores) {
    }

    /**
     * The worst lateness of the lab's loops, on which all else that it does waits. The generator's is not
     * among them: a client's time counts from when its request left.
     */
    long late() {
        return Math.max(world.getMaxValue(), clients.getMaxValue());
    }
}
