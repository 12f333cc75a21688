package dockrelay.lab.scale.members;

import dockrelay.fleet.MemberStateChange;
import java.nio.ByteBuffer;
import java.util.Random;

/** A machine of the fleet that a hollow process plays. Times are in microseconds. */
interface HollowStateMachine {
    /** What it does. */
    interface Callbacks {
        void send(String receiver, ByteBuffer datagram);

        void memberChanged(MemberStateChange change);
    }

    /** Makes one for each process. */
    interface Factory {
        HollowStateMachine create(String self, Layout layout, long incarnation, Random random,
            Callbacks callbacks,
                           long now);
    }

    long nextTickAt();

    void tick(long now);

    void receive(long now, String sender, ByteBuffer datagram);

    void leave(long now);

    void configure(long now, Layout layout);
}
