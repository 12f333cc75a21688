package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.MembershipSnapshot;
import java.util.Random;

/** The machine that a proxy plays to know who is there, whichever it is. */
interface HollowMember extends HollowStateMachine {
    /** One kind of machine. */
    interface Variant extends Factory {
        /** As a specification names it. */
        String name();

        @Override
        HollowMember create(String self, Layout layout, long incarnation, Random random, Callbacks callbacks,
                          long now);

        /** Which names know each other singly; equal numbers are one group. */
        int groupOf(Layout layout, String name);

        /** What a real proxy has to be told beside names and addresses, to play the same. */
        void addSettings(ObjectNode settings, Layout layout);

        /** Null, or why the code does not take this list. */
        String refusalReason(Layout layout);
    }

    MembershipSnapshot snapshot(long now);

    /** Equal where two see the same. */
    String digest();

    /** Of how many names it keeps something singly. */
    int trackedMemberCount(long now);
}
