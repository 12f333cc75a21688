package dockrelay.lab.scale.members;

import dockrelay.fleet.MemberStateChange;
import java.nio.ByteBuffer;
import java.util.Random;

/** A machine of the fleet that a hollow process plays. Times are in microseconds. */
interface HollowMachine {
    /** What it does. */
    interface Actions {
        void send(String to, ByteBuffer datagram);

        void changed(MemberStateChange change);
    }

    /** Makes one for each process. */
    interface Maker {
        HollowMachine make(String self, Layout layout, long incarnation, Random random, Actions actions,
                           long now);
    }

    long nextAt();

    void tick(long now);

    void receive(long now, String from, ByteBuffer datagram);

    void leave(long now);

    void configure(long now, Layout layout);
}
