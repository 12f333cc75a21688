package dockrelay.proxy;

import dockrelay.proxy.UploadMonitor.Presence;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Actions that wait until it is known whether a client is still connected. If it is not, they are dropped.
 * All on the event loop's thread.
 */
final class PresenceWaiters {
    /** What is run if the client is connected, and if that can't be found out. */
    private record Waiter(Runnable present, Runnable unknown) {
        void settle(Presence presence) {
            (presence == Presence.PRESENT ? present : unknown).run();
        }
    }

    private final InputProbe probe;
    private final Supplier<Presence> clientPresence;
    private final List<Waiter> waiters = new ArrayList<>();

    PresenceWaiters(InputProbe probe, Supplier<Presence> clientPresence) {
        this.probe = probe;
        this.clientPresence = clientPresence;
    }

    /** Runs one of the actions as soon as possible, which usually is at once. */
    void await(Runnable present, Runnable unknown) {
        Waiter waiter = new Waiter(present, unknown);
        Presence presence = clientPresence.get();
        if (presence == Presence.PENDING) {
            waiters.add(waiter);
            probe.start();
        } else {
            waiter.settle(presence);
        }
    }

    /** Runs the waiting actions if the client's presence is known by now, and goes on probing if not. */
    void settle() {
        if (waiters.isEmpty()) {
            return;
        }
        Presence presence = clientPresence.get();
        if (presence == Presence.PENDING) {
            probe.start();
            return;
        }
        List<Waiter> settled = List.copyOf(waiters);
        waiters.clear();
        settled.forEach(waiter -> waiter.settle(presence));
    }

    /** Drops the waiting actions: the client has closed its connection. */
    void clear() {
        waiters.clear();
    }
}
