package dockrelay.fleet;

import java.util.Locale;

/**
 * A change of a member's state or process in one member's view: its old and new state, and by whose report.
 */
public record MemberStateChange(String member, MemberState previousState, MemberState newState,
    String reportedBy, long incarnation, boolean restarted) {
    @Override
    public String toString() {
        return member + " is " + newState.name().toLowerCase(Locale.ROOT)
            + (restarted ? ", started anew" : "") + ", was " + previousState.name().toLowerCase(Locale.ROOT)
            + ", by " + reportedBy + ", incarnation " + incarnation;
    }
}
