package dockrelay.lab.scale.members;

import dockrelay.fleet.MemberStateChange;
import java.nio.ByteBuffer;
import java.util.Random;

/**
 * A control state machine of a proxy that runs in a hollow process. Times are in microseconds of the
 * process's own clock.
 */
interface HollowStateMachine {
    /** Effects of the state machine on its surroundings. */
    interface Callbacks {
        /** Sends a datagram to the member of this name; it may be lost. */
        void send(String receiver, ByteBuffer datagram);

        /** Called when this member's view of another member has changed. */
        void memberChanged(MemberStateChange change);
    }

    /** Creates the state machine of a process. */
    interface Factory {
        HollowStateMachine create(String self, Layout layout, long incarnation, Random random,
            Callbacks callbacks, long now);
    }

    /** When {@link #tick} has to be called next. */
    long nextTickAt();

    /** Runs the timers that are due. */
    void tick(long now);

    /** Handles a datagram from the member of this name. */
    void receive(long now, String sender, ByteBuffer datagram);

    /** Announces to the peers that this member leaves. */
    void leave(long now);

    /** Applies a new list of members. */
    void configure(long now, Layout layout);
}
