package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.MembershipSnapshot;
import java.util.Random;

/** The machine that a proxy plays to know who is there, whichever it is. */
interface HollowMember extends HollowMachine {
    /** One kind of machine. */
    interface Kind extends Maker {
        /** As a specification names it. */
        String name();

        @Override
        HollowMember make(String self, Layout layout, long incarnation, Random random, Actions actions,
                          long now);

        /** Which names know each other singly; equal numbers are one group. */
        int group(Layout layout, String name);

        /** What a real proxy has to be told beside names and addresses, to play the same. */
        void configure(ObjectNode configuration, Layout layout);

        /** Null, or why the code does not take this list. */
        String refuses(Layout layout);
    }

    MembershipSnapshot standing(long now);

    /** Equal where two see the same. */
    String digest();

    /** Of how many names it keeps something singly. */
    int known(long now);
}
