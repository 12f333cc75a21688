package dockrelay.fleet;

import java.util.List;

/**
 * A member's status for operators: its state and who reported it, the age of its latest view report, whether
 * it has the same member list, and on which members its view differs. Ages are in microseconds, and negative
 * if there is no report or no difference.
 */
public record MemberStatus(String name, MemberState state, long stateAge, String reportedBy, long incarnation,
    long reportAge, boolean sameMemberList, List<String> differingMembers, long disagreementAge) {
}
