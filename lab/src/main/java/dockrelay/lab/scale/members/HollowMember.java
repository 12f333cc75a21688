package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.fleet.MembershipSnapshot;
import java.util.Random;

/** A membership state machine, flat or grouped, that runs in a hollow process. */
interface HollowMember extends HollowStateMachine {
    /** A variant of the membership state machine. */
    interface Variant extends Factory {
        /** The name by which an experiment file selects it. */
        String name();

        @Override
        HollowMember create(String self, Layout layout, long incarnation, Random random, Callbacks callbacks,
                          long now);

        /** Group number of a member; members of a group track each other individually. */
        int groupOf(Layout layout, String name);

        /** Adds the settings, besides names and addresses, that make a real proxy use this variant. */
        void addSettings(ObjectNode settings, Layout layout);

        /** Why the state machine does not accept this layout; null if it does. */
        String refusalReason(Layout layout);
    }

    /** This member's current view of the membership. */
    MembershipSnapshot snapshot(long now);

    /** Digest of this member's view of its group; equal for members with the same view. */
    String digest();

    /** Number of members that it tracks individually. */
    int trackedMemberCount(long now);
}
