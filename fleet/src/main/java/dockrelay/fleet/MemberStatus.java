package dockrelay.fleet;

import java.util.List;

/** A member as an operator is told of it. Times are ago; below 0 where there is none. */
public record MemberStatus(String name, MemberState state, long stateAge, String reportedBy, long incarnation, long reportAge,
                  boolean sameMemberList, List<String> differingMembers, long disagreementAge) {
}
