package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.Change;
import dockrelay.fleet.Standing;
import java.nio.ByteBuffer;
import java.util.Random;

/** The machine that a proxy plays to know who is there, whichever it is. Times are in microseconds. */
interface HollowMember {
    /** What it does. */
    interface Actions {
        void send(String to, ByteBuffer datagram);

        void changed(Change change);
    }

    /** One kind of machine. */
    interface Kind {
        /** As a specification names it. */
        String name();

        HollowMember make(String self, Layout layout, long incarnation, Random random, Actions actions,
                          long now);

        /** Which names know each other singly; equal numbers are one group. */
        int group(Layout layout, String name);

        /** What a real proxy has to be told beside names and addresses, to play the same. */
        void configure(ObjectNode configuration, Layout layout);

        /** Null, or why the code does not take this list. */
        String refuses(Layout layout);
    }

    long nextAt();

    void tick(long now);

    void receive(long now, String from, ByteBuffer datagram);

    Standing standing(long now);

    /** Equal where two see the same. */
    String digest();

    void leave(long now);

    void configure(long now, Layout layout);
}
